"""The process that serves the users' platform: sockets, tasks, wiring."""
