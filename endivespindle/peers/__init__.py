"""Messages between entry VMs over pynng."""
