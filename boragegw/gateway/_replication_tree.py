"""Replication tree of a data centre: each process follows another one, up to a root.

The root watches the store. The number of followers of a process is limited by its link.

The processes of a data centre are ordered: first those that watch the store, then all
others by link and by a hash of the name. Each process follows one that comes before it
in the order. Thus there are no cycles, even while processes know different members.
"""

import msgspec

from boragegw import utils

#: Bandwidth in megabits per second of a source's link for each of its followers. 24 KB,
#: about a thousand compressed routes, then reach all followers within 50 ms.
LINK_MBPS_PER_FOLLOWER = 4.0
#: Followers of a source whose link is slow.
MIN_FOLLOWERS = 2


def is_root(member):
    """Return whether a process reads the store itself."""
    return member.watches_store and member.reads_store


def may_follow(own, member):
    """Return whether ``member`` is a root, or comes before ``own`` in the order."""
    if is_root(member):
        return True
    if member.data_centre != own.data_centre:
        return False
    return _ordered([_as_follower(own), member])[0] is member


def source_for(own, members):
    """Return the member that ``own`` should follow, or ``None`` if there is no root.

    :param members: :class:`~boragegw.gateway.Member` of the other processes in the data
        centre.
    """
    own = _as_follower(own)
    order = _ordered([*members, own])
    index = next(i for i, member in enumerate(order) if member is own)
    capacity = sum(1 for member in order if is_root(member))
    for candidate in order[:index] if capacity else ():
        capacity += max_followers(candidate)
        if index < capacity:
            return candidate
    return None


def max_followers(member):
    """Return the maximum number of followers of a process, by its link."""
    return max(MIN_FOLLOWERS, int(member.link_mbps / LINK_MBPS_PER_FOLLOWER))


def _ordered(members):
    key = members[0].data_centre
    ranked = utils.rendezvous_rank(key, members, identity=lambda member: member.name)
    return sorted(ranked, key=lambda member: (not is_root(member), -member.link_mbps))


def _as_follower(member):
    """Return a copy of ``member`` that does not watch the store."""
    return msgspec.structs.replace(member, watches_store=False)
