"""Membership of the fleet of gateway processes, by heartbeats and gossip over UDP."""

import asyncio
import math
import random

import msgspec

from boragegw import balancing, utils
from boragegw.gateway import (
    _composer,
    _failure_detector,
    _news,
    _peer_messages,
    _roster,
)

#: Seconds between heartbeats, or rounds of probes.
HEARTBEAT_INTERVAL_SECONDS = 0.5
#: Seconds without a heartbeat after which a process of a small fleet may be gone.
QUIET_SECONDS = 2.4 * HEARTBEAT_INTERVAL_SECONDS
#: Seconds between checks for news to send.
NEWS_INTERVAL_SECONDS = 0.1
#: Seconds after the start in which other processes may not have been heard yet, and the
#: fleet size that is assumed until then. Guards against a fleet that starts all at
#: once, as after a power loss: each process would use the whole retry budget and the
#: whole rate of each cold server for itself.
DISCOVERY_SECONDS = 2.0
ASSUMED_FLEET_SIZE = 24
#: One in this many heartbeats to an informed process is a full one, the others are
#: compact. 13 processes then send 14 KB/s together instead of 31.
FULL_HEARTBEAT_BEATS = 4
#: In a large fleet: heartbeats per one that goes to the seeds and to processes that
#: know only heartbeats.
SEED_BEATS = 4
HEARTBEAT_ONLY_BEATS = 2
#: Heartbeats after the start with which a process introduces itself to a large fleet.
INTRODUCTION_BEATS = (2, 4)
#: Growth of the roster after which a new process requests all members once more.
REQUEST_GROWTH = 1.125
#: Maximum number of unknown processes that are requested at once.
MAX_REQUESTED_MEMBERS = 32
#: Updates a second that a process requests to repair what it has missed: while nothing
#: changes in the fleet, and otherwise. An update takes 20 bytes.
CALM_SYNCHRONIZATION_RATE = 40.0
SYNCHRONIZATION_RATE = 160.0
#: Processes of the own data centre, and of others, whose state is requested after a
#: loss of backend servers.
REQUESTED_STATES = 6
#: Membership format from which processes understand notices about the store and about
#: limits of backend servers.
MIN_NOTICE_FORMAT = 3
#: The same of a :class:`ResettingNotice`.
MIN_RESETTING_FORMAT = 4


class Membership(asyncio.DatagramProtocol):
    """Sends and receives heartbeats and probes, and keeps the roster of processes.

    In a small fleet each process sends a heartbeat to all others twice a second. In a
    large one it probes a few others, and only changes are sent to all: directly inside
    the data centre, and through a few relays to the other data centres.

    :param local_member: this process's :class:`Member`, updated by its owner.
    :param seeds: function that returns the ``(host, port)`` pairs of the seeds.
    :ivar on_crash: called with each :class:`CrashNotice`.
    :ivar on_allotment: called with each message about allotments.
    :ivar on_store_notice: called with each :class:`StoreNotice`.
    :ivar on_server_limit: called with each
        :class:`~boragegw.balancing.ServerLimitNotice`.
    :ivar on_resetting: called with the service's name of each :class:`ResettingNotice`.
    """

    def __init__(self, board, local_member, seeds, *, now, log, random_state=None):
        self.board = board
        self.local_member = local_member
        self.seeds = seeds
        self.now = now
        self.log = log
        self.random_state = random_state or random.Random()
        self.on_crash = None
        self.on_allotment = None
        self.on_store_notice = None
        self.on_server_limit = None
        self.on_resetting = None
        self.roster = _roster.Roster(local_member, now=now, log=log)
        self.detector = _failure_detector.FailureDetector(
            self.roster, now=now, random_state=self.random_state
        )
        self._composer = _composer.Composer(
            self.roster, now=now, random_state=self.random_state
        )
        self._fleet_news = _news.NewsQueue()
        self._local_news = _news.NewsQueue()
        self._published = self._own_state()
        self._requested_size = 0
        self._synchronized_at = -math.inf
        self._started_at = now()
        board.processes = ASSUMED_FLEET_SIZE
        self._transport = None
        self._encode = msgspec.msgpack.Encoder().encode
        self._datagrams = utils.InputDecoder(
            msgspec.msgpack.Decoder(_peer_messages.Datagram).decode
        )
        self._handlers = {
            _peer_messages.CrashNotice: self._handle_crash,
            _peer_messages.UpdateBatch: self._handle_updates,
            _peer_messages.Heartbeat: self._handle_heartbeat,
            _peer_messages.Exchange: self._handle_exchange,
            _peer_messages.MemberRequest: self._handle_request,
            balancing.UsageReport: self._handle_allotment,
            balancing.LimitNotice: self._handle_allotment,
            _peer_messages.StoreNotice: self._handle_store_notice,
            balancing.ServerLimitNotice: self._handle_server_limit,
            _peer_messages.ResettingNotice: self._handle_resetting,
        }

    # Queries.

    def alive(self):
        """Return the :class:`Member` of each other live process."""
        return [k.member for k in self.roster.alive()]

    def ready(self):
        """Return the members that accept requests, including this one if it does."""
        members = [m for m in self.alive() if m.life == _peer_messages.Life.READY]
        if self.local_member.life == _peer_messages.Life.READY:
            members.append(self.local_member)
        return members

    def latest_revision(self):
        """Return the greatest revision that another live process knows."""
        return max((m.revision for m in self.alive()), default=0)

    def heard_lately(self):
        """Return the :class:`Member` of each other live process that is not silent."""
        return [k.member for k in self.roster.alive() if not self._is_quiet(k)]

    def heard_since(self, moment):
        """Return the :class:`Member` of each live process whose state is as new.

        :param moment: monotonic seconds.
        """
        return [k.member for k in self.roster.alive() if k.heard_at >= moment]

    def _is_quiet(self, known):
        """Return whether a live process may be gone, before it is considered gone."""
        if self.roster.is_large:
            return known.is_suspected
        return self.now() > known.heard_at + QUIET_SECONDS

    def watch(self, name):
        """Probe the process ``name`` often, or none if ``None``."""
        self.detector.watched_name = name

    # Sending.

    def connection_made(self, transport):
        """Keep the transport for sending."""
        self._transport = transport

    def tick(self):
        """Send heartbeats or probes.

        To be called every :data:`HEARTBEAT_INTERVAL_SECONDS`.
        """
        self.local_member.beat += 1
        self.roster.expire()
        if not self._is_new:
            self.roster.told_size = 0
        if self.roster.is_large:
            self._run_round()
        else:
            self._send_heartbeats()
        self._publish()

    def announce(self):
        """Send the own state to all live processes at once, as on a planned stop."""
        self.local_member.beat += 1
        if self.roster.is_large:
            self._fleet_news.add_own(self._is_new)
            self.send_news()
            self._send_to_heartbeat_only(self._heartbeat(_composer.GOSSIP_ENTRIES))
            return
        beat = self._heartbeat(_composer.GOSSIP_ENTRIES)
        for known in self.roster.alive():
            self._send(known.address, beat)

    def request_states(self):
        """Request the state of a few processes, near and far, at once."""
        own = self.local_member.data_centre
        alive = [k for k in self.roster.alive() if not k.is_suspected]
        local = [k for k in alive if k.member.data_centre == own]
        remote = [k for k in alive if k.member.data_centre != own]
        for known in (
            *self._composer.sample(local, REQUESTED_STATES),
            *self._composer.sample(remote, REQUESTED_STATES),
        ):
            self._send(known.address, self._probe_for(known))

    def send_news(self):
        """Send queued changes, if any.

        To be called every :data:`NEWS_INTERVAL_SECONDS`.
        """
        has_news = self._local_news or self._fleet_news
        if not has_news or not self.roster.is_large:
            return
        alive = self.roster.alive()
        own = self.local_member.data_centre
        local = [k for k in alive if k.member.data_centre == own]
        for message in self._take(self._local_news):
            self._send_exchange(local, message)
        relays = _news.select_relays(alive, own, self.random_state)
        for message in self._take(self._fleet_news):
            self._send_exchange(local, message)
            message.purpose = _peer_messages.Purpose.RELAY
            self._send_exchange(relays, message)

    def _take(self, news):
        return news.take_messages(self.local_member, self.now()) if news else []

    def broadcast_crash(self, notice):
        """Send a :class:`CrashNotice` to all live processes."""
        self.send_message(self.roster.alive(), notice)

    def broadcast_resetting(self, service):
        """Report to all live processes that servers of a service reset when full."""
        notice = _peer_messages.ResettingNotice(service)
        self.broadcast_notice(notice, MIN_RESETTING_FORMAT)

    def broadcast_notice(self, notice, least_format=MIN_NOTICE_FORMAT):
        """Send a notice to all live processes that understand it.

        :param notice: a :class:`StoreNotice` or a
            :class:`~boragegw.balancing.ServerLimitNotice`.
        :param least_format: membership format from which processes understand it.
        """
        targets = [
            known
            for known in self.roster.alive()
            if known.member.membership_format >= least_format
        ]
        self.send_message(targets, notice)

    def send_message(self, targets, message):
        """Send a message to each :class:`KnownPeer` of ``targets``."""
        datagram = self._encode(message)
        for known in targets:
            self._send(known.address, datagram)

    @property
    def _is_new(self):
        return self.now() < self._started_at + _composer.NEWCOMER_SECONDS

    # Sending in a small fleet.

    def _send_heartbeats(self):
        introduction = self._heartbeat(_composer.MAX_GOSSIP_ENTRIES)
        regular = self._regular_heartbeat()
        informed = self._informed_addresses()
        for address in self._targets():
            self._send(address, regular if address in informed else introduction)

    def _regular_heartbeat(self):
        """Return a full heartbeat once in a while, otherwise a compact one."""
        if self.local_member.beat % FULL_HEARTBEAT_BEATS == 0:
            return self._heartbeat(_composer.GOSSIP_ENTRIES)
        return self._encode(self._composer.compact_heartbeat())

    def _targets(self):
        targets = {known.address for known in self.roster.alive()}
        # Seeds are contacted forever: after a partition in which both sides have
        # forgotten each other, only the seeds reconnect them.
        targets.update(self.seeds())
        targets.discard(_roster.split_address(self.local_member.peer_address))
        return sorted(targets)

    def _informed_addresses(self):
        """Return the addresses of processes that certainly know the whole fleet."""
        if self._is_new:
            return set()
        live_peers = self.roster.alive()
        newcomers = self._composer.newcomers(live_peers)
        return {k.address for k in live_peers if k not in newcomers}

    def _heartbeat(self, limit):
        return self._encode(self._composer.heartbeat(limit))

    # Sending in a large fleet.

    def _run_round(self):
        self._queue_own_change()
        if self._is_new:
            self._request_all_members()
        self._send_probes()
        self._synchronize()
        self._contact_seeds()
        if self.local_member.beat % HEARTBEAT_ONLY_BEATS == 0:
            self._send_to_heartbeat_only(self._regular_heartbeat())
        self.send_news()

    def _send_probes(self):
        targets, silent = self.detector.start_round()
        for known, silent_since in silent:
            if self.roster.suspect(known, silent_since):
                self._fleet_news.add_suspicion(known)
        for known in targets:
            self._send(known.address, self._probe_for(known))

    def _queue_own_change(self):
        """Queue the own state if it has changed since the last round.

        One that was announced is sent a second time, in case datagrams were lost.
        """
        state = self._own_state()
        if state != self._published or self.local_member.beat in INTRODUCTION_BEATS:
            self._published = state
            self._fleet_news.add_own(self._is_new)

    def _own_state(self):
        """Return what all other processes should know at once if it changes."""
        own = self.local_member
        return (
            own.life,
            own.reads_store,
            own.watches_store,
            bool(own.revision),
            own.unreached,
            own.lateness,
        )

    def _probe_for(self, known):
        if _is_heartbeat_only(known):
            return self._encode(self._composer.heartbeat(0, wants_reply=True))
        return self._encode_exchange(_peer_messages.Purpose.PROBE)

    def _encode_exchange(self, purpose):
        exchange = self._composer.exchange(purpose)
        exchange.processes = self.board.processes
        return self._encode(exchange)

    def _request_all_members(self):
        """Request all members from a process nearby, as long as their number grows."""
        alive = self.roster.alive()
        if len(alive) <= REQUEST_GROWTH * self._requested_size:
            return
        if not self._requested_size:
            self._fleet_news.add_own(is_new=True)
        self._requested_size = len(alive)
        self._request_from_one()

    def _synchronize(self):
        """Request updates of all processes from one nearby, from time to time.

        Repairs what lost datagrams have left: news reach all others, but each of them
        only with the probability that the links allow.
        """
        now = self.now()
        if now < self._synchronized_at + self._synchronization_seconds:
            return
        self._synchronized_at = now
        self._request_from_one(only_updates=True)

    @property
    def _synchronization_seconds(self):
        if self._is_new:
            return 2 * HEARTBEAT_INTERVAL_SECONDS
        view = self._composer.current_view()
        is_calm = not view.recent and not view.suspected
        rate = CALM_SYNCHRONIZATION_RATE if is_calm else SYNCHRONIZATION_RATE
        return len(view.alive) / rate

    def _request_from_one(self, only_updates=False):
        """Request members from a process of the own data centre, if one is known.

        A new process requests updates from any: if its whole data centre has started
        at the same time, the others there do not know more.
        """
        view = self._composer.list_view()
        is_any = not view.local or (self._is_new and only_updates)
        for known in self._composer.sample(view.alive if is_any else view.local, 1):
            self._request_members(known.address, [], only_updates)

    def _request_members(self, address, incarnations, only_updates=False):
        request = _peer_messages.MemberRequest(
            self.local_member, incarnations, only_updates
        )
        self._send(address, self._encode(request))

    def _contact_seeds(self):
        """Send a heartbeat to the seeds that are not in sight.

        After a partition in which both sides have forgotten each other, only the seeds
        reconnect them.
        """
        if self.local_member.beat % SEED_BEATS and not self._is_new:
            return
        in_sight = {known.address for known in self.roster.alive()}
        in_sight.add(_roster.split_address(self.local_member.peer_address))
        heartbeat = self._heartbeat(_composer.GOSSIP_ENTRIES)
        for address in self.seeds():
            if address not in in_sight:
                self._send(address, heartbeat)

    def _send_to_heartbeat_only(self, datagram):
        """Send to the processes that consider one without heartbeats gone."""
        for known in self.roster.alive():
            if _is_heartbeat_only(known):
                self._send(known.address, datagram)

    def _send_exchange(self, targets, message):
        datagram = self._encode(message)
        for known in targets:
            if not _is_heartbeat_only(known):
                self._send(known.address, datagram)

    def _send(self, address, datagram):
        if self._transport is not None and not self._transport.is_closing():
            self.board.counters["peers.datagrams_sent"] += 1
            self._transport.sendto(datagram, address)

    # Receiving.

    def datagram_received(self, data, addr):
        """Apply a message of another process; drop and log a malformed datagram."""
        try:
            message = self._datagrams.decode(data)
        except utils.MalformedInputError as error:
            self.board.counters["peers.datagrams_dropped"] += 1
            self.log.event("datagram-dropped", sender=addr[0], reason=str(error))
            return
        self.roster.mark_heard()
        self._handlers[type(message)](message, addr)

    def error_received(self, exc):
        """Count an ICMP error; the next heartbeat is sent regardless."""
        self.board.counters["peers.send_errors"] += 1

    def _handle_crash(self, message, addr):
        if self.on_crash is not None:
            self.on_crash(message)

    def _handle_allotment(self, message, addr):
        if self.on_allotment is not None:
            self.on_allotment(message)

    def _handle_store_notice(self, message, addr):
        if self.on_store_notice is not None:
            self.on_store_notice(message)

    def _handle_server_limit(self, message, addr):
        if self.on_server_limit is not None:
            self.on_server_limit(message)

    def _handle_resetting(self, message, addr):
        if self.on_resetting is not None:
            self.on_resetting(message.service)

    def _handle_updates(self, message, addr):
        for index, update in enumerate(message.updates):
            self._apply_update(update, is_sender=index == 0)
        if message.updates:
            self._reply_to_heartbeat(message.updates[0].incarnation, addr)
        self._publish()

    def _handle_heartbeat(self, message, addr):
        self._apply_sender(message.sender)
        self._apply_gossip(message.gossip)
        if message.wants_reply:
            self._reply_to_new_process(message.sender)
        else:
            self._reply_to_heartbeat(message.sender.incarnation, addr)
        self._publish()

    def _reply_to_new_process(self, sender):
        address = _roster.split_address(sender.peer_address)
        if self.roster.is_large and sender.membership_format:
            members = self._composer.introduced_members(sender.data_centre)
            self._send_all(address, self._composer.full_members(members))
        else:
            self._send(address, self._heartbeat(_composer.MAX_GOSSIP_ENTRIES))

    def _reply_to_heartbeat(self, incarnation, addr):
        """Reply to a process that takes the fleet for a small one.

        It expects heartbeats from all processes.
        """
        sender = self.roster.find(incarnation)
        if sender is not None and _is_heartbeat_only(sender):
            return
        if self.roster.is_large:
            self._send(addr, self._encode_exchange(_peer_messages.Purpose.NOTICE))

    def _handle_exchange(self, message, addr):
        if self._is_new:
            self._apply_size(message.processes)
        relays = message.purpose == _peer_messages.Purpose.RELAY
        self._apply_gossip(message.members, relays)
        self._apply_exchanged_updates(message, addr)
        self._apply_suspicions(message.suspicions, relays)
        if self._is_new and not self._requested_size:
            self._request_all_members()
        if message.purpose == _peer_messages.Purpose.PROBE:
            self._send(addr, self._encode_exchange(_peer_messages.Purpose.REPLY))

    def _apply_size(self, processes):
        """Apply the size of the fleet that another process reports to a new one."""
        if processes > self.roster.told_size:
            self.roster.told_size = processes
            self._publish()

    def _apply_exchanged_updates(self, message, addr):
        unknown = []
        for index, update in enumerate(message.updates):
            known = self.roster.find(update.incarnation)
            if known is not None:
                if index == 0 or update.beat > known.member.beat:
                    self._apply_exchanged_update(
                        known, update, message.purpose, index == 0
                    )
            elif update.incarnation != self.local_member.incarnation:
                unknown.append(update.incarnation)
        if unknown:
            self._request_members(addr, unknown[:MAX_REQUESTED_MEMBERS])

    def _apply_exchanged_update(self, known, update, purpose, is_sender):
        """Apply one update, and pass it on if others may not get it otherwise.

        A process that sends its state to the whole fleet needs relays. One that others
        consider gone does not know it, so that those report its return which hear of it
        by a probe.
        """
        changed_at = known.changed_at
        returned = self._apply_update(update, is_sender)
        if purpose == _peer_messages.Purpose.RELAY:
            if is_sender or known.changed_at != changed_at:
                self._local_news.add_update(known)
        elif purpose != _peer_messages.Purpose.NOTICE and is_sender and returned:
            self._fleet_news.add_update(known)

    def _handle_request(self, message, addr):
        self._apply_sender(message.sender)
        if message.only_updates:
            messages = self._composer.all_updates()
        elif message.incarnations:
            found = map(self.roster.find, message.incarnations)
            members = [known for known in found if known is not None]
            is_own = self.local_member.incarnation in message.incarnations
            messages = self._composer.full_members(members, is_own)
        else:
            messages = self._composer.full_members(self.roster.alive())
        self._send_all(addr, messages)

    def _send_all(self, address, messages):
        for message in messages:
            message.processes = self.board.processes
            self._send(address, self._encode(message))

    def _apply_sender(self, member):
        """Apply the state of a sender, and report one that has returned to the fleet.

        A new process introduces itself.
        """
        self.detector.mark_reply(member.incarnation)
        known = self.roster.apply_member(member, self.now(), direct=True)
        if known is not None and member.beat > max(INTRODUCTION_BEATS):
            self._fleet_news.add_member(known)

    def _apply_gossip(self, gossip, relays=False):
        for entry in gossip:
            heard_at = self.now() - max(0.0, entry.age)
            known = self.roster.apply_member(entry.member, heard_at, direct=False)
            if known is not None and relays:
                self._local_news.add_member(known)

    def _apply_update(self, update, is_sender):
        """Apply an update; return whether its process has returned into sight."""
        if is_sender:
            self.detector.mark_reply(update.incarnation)
        heard_at = self.now() - max(0, update.age_ms) / 1000
        return self.roster.apply_update(update, heard_at, is_sender) is not None

    def _apply_suspicions(self, suspicions, relays):
        for suspicion in suspicions:
            if suspicion.incarnation == self.local_member.incarnation:
                self._fleet_news.add_own()
                continue
            known = self.roster.find(suspicion.incarnation)
            silent_since = self.now() - suspicion.silent_ms / 1000
            if known is None or not self.roster.suspect(known, silent_since):
                continue
            if relays:
                self._local_news.add_suspicion(known)

    def _publish(self):
        known = self.roster.possibly_alive()
        if self.now() < self._started_at + DISCOVERY_SECONDS:
            known = max(known, ASSUMED_FLEET_SIZE)
        self.board.processes = known


def _is_heartbeat_only(known):
    """Return whether a process knows only heartbeats, as those of former versions."""
    return known.member.membership_format == 0
