"""Plots of summaries as SVG."""

from collections.abc import Sequence
from xml.etree import ElementTree

import pygal

from endivespindle.report.summary import RunSummary

__all__ = ["plot_worth"]

_SHORT_COMMIT = 7


def plot_worth(summaries: Sequence[RunSummary]) -> bytes:
    """Returns a plot of the mean worth by commit, a line for each site.

    Runs on a tree that differed from its commit are left out.

    Returns:
        An SVG image without scripts.
    """
    kept = [summary for summary in summaries if not summary.is_trial]
    commits = list(dict.fromkeys(summary.commit for summary in kept))
    chart = pygal.Line(
        title="Mean worth of the days played",
        x_labels=[commit[:_SHORT_COMMIT] for commit in commits],
        x_label_rotation=30,
        range=(0.0, 1.0),
        js=[],
        # Otherwise each image would have ids of its own.
        no_prefix=True,
    )
    for site in sorted({summary.site for summary in kept}):
        worth = {s.commit: s.mean_worth for s in kept if s.site == site}
        chart.add(site, [worth.get(commit) for commit in commits])
    root = chart.render_tree()
    _remove_scripts(root)
    return ElementTree.tostring(root, encoding="utf-8", xml_declaration=True)


def _remove_scripts(root: ElementTree.Element) -> None:
    """Removes scripts and comments, which name hosts and change by version."""
    for parent in list(root.iter()):
        for child in list(parent):
            is_element = isinstance(child.tag, str)
            if not is_element or child.tag.rpartition("}")[2] == "script":
                parent.remove(child)
