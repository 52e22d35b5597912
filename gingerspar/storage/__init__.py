"""The state service: client, budgets, records and the watched view."""
