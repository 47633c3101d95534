"""What clients, targets and neighbours may make a process hold."""
