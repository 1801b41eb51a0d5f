"""The node: the program that runs entry, agent and locator in one process."""
