"""The server process for the users' platform: sockets, tasks and wiring."""
