"""Stand-ins for external systems, the demo and the load tool."""
