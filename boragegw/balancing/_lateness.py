"""Lateness: by how much the timers of a process run late, in a few levels."""

import math

from boragegw import utils

#: Share of a level's threshold below which the average has to fall to leave it.
RETURN_SHARE = 0.5


class LatenessLevel(utils.Parameterized):
    """Level of a process's lateness, published to the other processes.

    :param first: average seconds by which timers run late, from level 1.
    :param ratio: ratio of the thresholds of two consecutive levels.
    :param levels: the highest level; 0 publishes none.
    :param half_life: seconds in which the weight of an observation halves.
    :param hold: seconds that a level lasts before a lower one is published.
    """

    _parameter_constraints = {
        "first": utils.Interval(float, 0.0001, 10),
        "ratio": utils.Interval(float, 1.1, 100),
        "levels": utils.Interval(int, 0, 9),
        "half_life": utils.Interval(float, 0.01, 60),
        "hold": utils.Interval(float, 0, 60),
    }

    def __init__(self, first=0.01, ratio=4.0, levels=3, half_life=1.0, hold=2.0):
        self.first = first
        self.ratio = ratio
        self.levels = levels
        self.half_life = half_life
        self.hold = hold
        self.level = 0
        self.average = 0.0
        self._observed_at = -math.inf
        self._changed_at = -math.inf

    def observe(self, late, now):
        """Record by how much a timer ran late; return whether the level changed.

        :param late: seconds.
        :param now: monotonic seconds.
        """
        self._check_params()
        elapsed = min(now - self._observed_at, self.half_life)
        self._observed_at = now
        weight = 1.0 - 0.5 ** (elapsed / self.half_life)
        self.average += weight * (late - self.average)
        level = self._next_level(now)
        if level == self.level:
            return False
        self.level = level
        self._changed_at = now
        return True

    def _next_level(self, now):
        if self.level < self.levels and self.average > self._threshold(self.level + 1):
            return self.level + 1
        is_held = now < self._changed_at + self.hold
        if not self.level or is_held:
            return self.level
        if self.average < RETURN_SHARE * self._threshold(self.level):
            return self.level - 1
        return self.level

    def _threshold(self, level):
        return self.first * self.ratio ** (level - 1)
