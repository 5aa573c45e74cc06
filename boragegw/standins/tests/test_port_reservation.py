"""Reserved ports are neither assigned by the kernel nor reserved twice."""

import random
import socket

import pytest

from boragegw import standins
from boragegw.standins import _port_reservation


@pytest.fixture
def reservations(monkeypatch, tmp_path):
    monkeypatch.setattr(_port_reservation, "LOCK_FOLDER", tmp_path)
    created = [standins.PortReservation(random.Random(1)) for _ in range(2)]
    yield created
    for reservation in created:
        reservation.release()


def ports_of(addresses):
    return [int(address.rpartition(":")[2]) for address in addresses]


def test_two_reservations_with_the_same_first_port_do_not_overlap(reservations):
    first, second = (ports_of(r.reserve(20)) for r in reservations)
    assert len(set(first) | set(second)) == 40


def test_ports_are_outside_of_the_ephemeral_range(reservations):
    low, high = _port_reservation.ephemeral_range()
    assert all(not low <= p <= high for p in ports_of(reservations[0].reserve(200)))


def test_released_ports_can_be_reserved_again(reservations):
    ports = reservations[0].reserve(5)
    reservations[0].release()
    assert reservations[1].reserve(5) == ports


def test_port_in_use_is_left_out(reservations):
    """Another program listens on a port that is not locked."""
    (port,) = ports_of(reservations[0].reserve(1))
    reservations[0].release()
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", port))
        assert port not in ports_of(reservations[1].reserve(5))


def test_too_few_free_ports_raise_an_error(reservations, monkeypatch):
    monkeypatch.setattr(_port_reservation, "candidate_ports", lambda: [10000, 10001])
    with pytest.raises(OSError, match="expected at least 3"):
        reservations[0].reserve(3)
