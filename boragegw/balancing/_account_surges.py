"""Client accounts that send many times their usual rate."""

import dataclasses
import math

from boragegw import utils

#: Half-life in seconds of the count for the present rate.
PRESENT_HALF_LIFE_SECONDS = 2.0
#: Half-life in seconds of the count for the usual rate.
USUAL_HALF_LIFE_SECONDS = 60.0
#: Recent requests, with decay, below which an account does not surge.
MIN_REQUESTS = 8.0


@dataclasses.dataclass(slots=True)
class _Usage:
    """Decaying counts of the requests of one account.

    :param first_at: monotonic seconds of its first request.
    :param updated_at: monotonic seconds to which the counts have decayed.
    :param present: count with the shorter half-life.
    :param usual: count with the longer half-life.
    """

    first_at: float
    updated_at: float
    present: float = 0.0
    usual: float = 0.0


class AccountSurges:
    """Present rate of each client account, compared with its usual rate.

    An account that is new to this process has no usual rate, and its ratio is 1.
    """

    #: Client accounts for which counts are kept.
    MAX_ACCOUNTS = 256

    def __init__(self):
        self._usages = utils.BoundedDict(self.MAX_ACCOUNTS)

    def observe(self, account, now):
        """Count a request.

        :param account: name of the client account.
        """
        usage = self._usages.get(account)
        if usage is None:
            usage = _Usage(now, now)
            self._usages.add(account, usage)
        self._decay(usage, now)
        usage.present += 1.0
        usage.usual += 1.0

    def ratio(self, account, now):
        """Return the present rate as a multiple of the usual one."""
        usage = self._usages.get(account)
        if usage is None:
            return 1.0
        self._decay(usage, now)
        if usage.present < MIN_REQUESTS:
            return 1.0
        age = now - usage.first_at
        present = usage.present / _window(age, PRESENT_HALF_LIFE_SECONDS)
        return present * _window(age, USUAL_HALF_LIFE_SECONDS) / usage.usual

    @staticmethod
    def _decay(usage, now):
        elapsed = now - usage.updated_at
        usage.present *= 0.5 ** (elapsed / PRESENT_HALF_LIFE_SECONDS)
        usage.usual *= 0.5 ** (elapsed / USUAL_HALF_LIFE_SECONDS)
        usage.updated_at = now


def _window(age, half_life):
    """Return the seconds that a decaying count covers ``age`` seconds after its start.

    At least a millisecond, so that it can divide.
    """
    return max(0.001, (1.0 - 0.5 ** (age / half_life)) * half_life / math.log(2))
