"""Which process to follow: a tree in which each source has few followers for its link.

The processes of a data centre stand in one order: those that watch the store, then all
others by link and name. Each follows one that stands before it, so that there is no
circle, also while two processes do not know the same others.
"""

import msgspec

from boragegw import utils

#: Megabits a second of a source's link for each process that follows it: 24 KB, about a
#: thousand routes compressed, then reach all of them within 50 ms.
LINK_PER_FOLLOWER = 4.0
#: Followers of a source on a slow link.
LEAST_FOLLOWERS = 2


def is_root(member):
    """Return whether a process has its knowledge from the store itself."""
    return member.watches_store and member.reads_store


def may_follow(own, member):
    """Return whether ``member`` is a root, or stands before ``own`` in the order."""
    if is_root(member):
        return True
    if member.data_centre != own.data_centre:
        return False
    return _ordered([_without_store(own), member])[0] is member


def source_for(own, members):
    """Return the member that ``own`` should follow, or ``None`` without a root.

    :param members: others in the data centre, as :class:`~boragegw.gateway.Member`.
    """
    own = _without_store(own)
    order = _ordered([*members, own])
    index = next(i for i, member in enumerate(order) if member is own)
    reached = sum(1 for member in order if is_root(member))
    for candidate in order[:index] if reached else ():
        reached += followers_of(candidate)
        if index < reached:
            return candidate
    return None


def followers_of(member):
    """Return how many followers a process on its link should have at most."""
    return max(LEAST_FOLLOWERS, int(member.link / LINK_PER_FOLLOWER))


def _ordered(members):
    key = members[0].data_centre
    ranked = utils.rendezvous_rank(key, members, identity=lambda member: member.name)
    return sorted(ranked, key=lambda member: (not is_root(member), -member.link))


def _without_store(member):
    """Return ``member`` as one that is about to follow another."""
    return msgspec.structs.replace(member, watches_store=False)
