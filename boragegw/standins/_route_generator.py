"""Generator of routes for large configurations."""

import random
import string


def generate_routes(count, seed=1, service="app"):
    """Return ``count`` routes with random hosts and prefixes, 0.3 KB of JSON each."""
    random_state = random.Random(seed)

    def random_word(length):
        return "".join(random_state.choices(string.ascii_lowercase, k=length))

    return [
        {
            "name": f"r-{number:04}-{random_word(8)}",
            "host": f"{random_word(14)}.example",
            "prefix": f"/{random_word(18)}/",
            "route_type": "safe",
            "timeout_s": 2.0,
            "target_latency_s": 0.5,
            "priority": 1,
            "max_attempts": 2,
            "traffic_split": [
                {"service": service, "weight": 90},
                {"service": "other", "weight": 0},
            ],
        }
        for number in range(count)
    ]
