"""Prompts that a backend server has still to read.

An engine reads prompts in pieces between the tokens of the completions that it
generates. A long prompt delays the first token of what comes after it, and
slows what runs beside it.
"""

import itertools

__all__ = ["PromptQueue", "prompt_cost_s"]

# Part of its reading time that a prompt costs requests which come later, also
# at an idle server: reading a shared prompt again elsewhere is not free.
_LATER_FRACTION = 0.5


class PromptQueue:
    """Prompt tokens that this VM has sent to one server, until they are read.

    A prompt has been read when the first event of its completion arrives.
    """

    __slots__ = ("_numbers", "_tokens")

    def __init__(self) -> None:
        self._numbers = itertools.count()
        self._tokens: dict[int, int] = {}

    @property
    def tokens(self) -> int:
        """Number of tokens that are not read yet."""
        return sum(self._tokens.values())

    def add(self, tokens: int) -> int:
        """Records a prompt that is sent; returns its number."""
        number = next(self._numbers)
        self._tokens[number] = tokens
        return number

    def remove(self, number: int) -> None:
        """Records that a prompt was read, or that its attempt ended."""
        self._tokens.pop(number, None)


def prompt_cost_s(
    *,
    tokens: int,
    queued_tokens: int,
    running: float,
    slots: int,
    tokens_per_s: float,
) -> float:
    """Returns the seconds that a prompt costs itself and others at a server.

    Load pattern: a few long prompts among many short ones. A short prompt
    waits for the tokens before it, so that it goes where no long one is being
    read. A long prompt slows what runs beside it for as long as it is read, so
    that long ones meet at the servers where the least runs. No server is set
    aside: as soon as the long prompts are read, all costs are equal.

    Args:
        tokens: Tokens of the prompt that are not in the server's cache.
        queued_tokens: Tokens that the server has to read before it.
        running: Requests that run at the server.
        slots: Requests that it runs at once.
        tokens_per_s: Prompt tokens that a server reads in a second.

    Example:
        >>> prompt_cost_s(
        ...     tokens=500,
        ...     queued_tokens=1500,
        ...     running=4,
        ...     slots=8,
        ...     tokens_per_s=1000.0,
        ... )
        2.375

    References:
        Agrawal et al., "Taming Throughput-Latency Tradeoff in LLM Inference
        with Sarathi-Serve", OSDI 2024, on prompts read in pieces beside
        generation.
    """
    wait_s = (queued_tokens + tokens) / tokens_per_s
    busy = min(1.0, running / max(1, slots))
    others = _LATER_FRACTION + (1.0 - _LATER_FRACTION) * busy
    return wait_s + tokens / tokens_per_s * others
