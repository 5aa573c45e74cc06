"""Leases and the table of idempotency keys."""

import pytest

from boragegw import decisions, errors

SECRET = b"sixteen byte key"
KIND = decisions.AdmissionKind


def lease(issued=0.0, expires=600.0, incarnation=7):
    return decisions.Lease(incarnation, "10.0.0.1:90", issued, expires)


def finish(table, admission, outcome=None):
    stored = decisions.StoredResponse(200, (), b"done")
    table.finish(admission.record, outcome or stored)


def test_decoding_returns_the_encoded_lease():
    authority = decisions.LeaseAuthority(SECRET)
    text = authority.encode(lease())
    assert authority.decode(text) == lease()
    assert "." not in text


@pytest.mark.parametrize("position", [0, 5, 20, -1])
def test_changed_lease_is_refused(position):
    """With a forged lease a caller could have a process run keys it never leased."""
    authority = decisions.LeaseAuthority(SECRET)
    text = authority.encode(lease())
    changed = "A" if text[position] != "A" else "B"
    rest = text[position + 1 :] if position >= 0 else ""
    tampered = text[:position] + changed + rest
    assert authority.decode(tampered) is None


@pytest.mark.parametrize("text", ["", "x", "not base64!", "A" * 300, "é"])
def test_malformed_text_is_not_decoded(text):
    assert decisions.LeaseAuthority(SECRET).decode(text) is None


def test_lease_of_another_secret_is_refused():
    text = decisions.LeaseAuthority(b"another sixteen!").encode(lease())
    assert decisions.LeaseAuthority(SECRET).decode(text) is None


@pytest.mark.parametrize("key", ["", "lease", "lease.", "a." + "b" * 300, "a.\x00b"])
def test_malformed_key_is_refused(key):
    with pytest.raises(ValueError, match="expected"):
        decisions.split_key(key)


def test_first_request_runs_and_later_ones_join_or_replay():
    table = decisions.KeyTable()
    first = table.admit("k", lease(), 1.0)
    assert first.kind is KIND.RUN
    assert table.admit("k", lease(), 1.0).kind is KIND.JOIN
    finish(table, first)
    replayed = table.admit("k", lease(), 2.0)
    assert replayed.kind is KIND.REPLAY
    assert replayed.record.outcome.body == b"done"


def test_new_key_of_an_expired_lease_is_refused_as_not_run():
    table = decisions.KeyTable()
    refused = table.admit("k", lease(expires=5.0), 6.0)
    assert refused.error.code is errors.Code.LEASE_EXPIRED
    assert refused.error.verdict is errors.Verdict.NOT_RUN


def test_key_of_an_evicted_record_is_never_reported_as_not_run():
    """The record of a request has been evicted when its caller sends the key again.
    A caller who is told "not run" sends the request with a new key, and it runs twice.
    """
    table = decisions.KeyTable(retention=10.0)
    finish(table, table.admit("k", lease(expires=5.0), 1.0))
    table.sweep(16.0)
    assert len(table) == 0
    refused = table.admit("k", lease(expires=5.0), 17.0)
    assert refused.error.code is errors.Code.KEY_EXPIRED
    assert refused.error.verdict is errors.Verdict.MAY_HAVE_RUN


def test_running_record_is_not_evicted():
    table = decisions.KeyTable(retention=0.0)
    table.admit("k", lease(expires=5.0), 1.0)
    table.sweep(100.0)
    assert table.admit("k", lease(expires=5.0), 100.0).kind is KIND.JOIN


def test_full_table_refuses_new_keys_and_keeps_its_records():
    table = decisions.KeyTable(limit=1)
    finish(table, table.admit("old", lease(), 1.0))
    refused = table.admit("new", lease(), 1.0)
    assert refused.error.code is errors.Code.TABLE_FULL
    assert refused.error.verdict is errors.Verdict.NOT_RUN
    assert table.admit("old", lease(), 1.0).kind is KIND.REPLAY


def test_key_refused_by_a_full_table_stays_refused_after_eviction():
    """A caller is told "not run" and sends the request again with a new key.

    The table was full when the first copy arrived. A delayed second copy arrives after
    records have been evicted and would make the request run twice. The fence refuses
    it; a key of a new lease is accepted.
    """
    table = decisions.KeyTable(limit=1, retention=1.0)
    finish(table, table.admit("old", lease(expires=2.0), 1.0))
    assert table.admit("claim", lease(issued=0.0), 1.5).kind is KIND.REFUSE
    table.sweep(10.0)
    late = table.admit("claim", lease(issued=0.0), 10.0)
    assert late.error.code is errors.Code.LEASE_FENCED
    assert late.error.verdict is errors.Verdict.NOT_RUN
    assert table.admit("anew", lease(issued=9.0), 10.0).kind is KIND.RUN


def test_refusal_before_the_run_is_final():
    table = decisions.KeyTable()
    error = errors.RequestError.not_run(errors.Code.OVERLOADED, "full")
    assert table.refuse("k", lease(), error, 1.0) is error
    replayed = table.admit("k", lease(), 2.0)
    assert replayed.kind is KIND.REPLAY
    assert replayed.record.outcome is error


def test_refusal_of_a_running_key_is_reported_as_may_have_run():
    table = decisions.KeyTable()
    table.admit("k", lease(), 1.0)
    error = errors.RequestError.not_run(errors.Code.OVERLOADED, "full")
    reported = table.refuse("k", lease(), error, 1.0)
    assert reported.verdict is errors.Verdict.MAY_HAVE_RUN


def test_answer_beyond_the_byte_limit_is_reported_as_run_but_not_kept():
    table = decisions.KeyTable(stored_bytes=3)
    admission = table.admit("k", lease(), 1.0)
    finish(table, admission)
    outcome = table.admit("k", lease(), 1.0).record.outcome
    assert outcome.code is errors.Code.ANSWER_NOT_KEPT
    assert outcome.verdict is errors.Verdict.RAN


def test_sealed_table_decides_for_its_stopped_process():
    table = decisions.KeyTable()
    finish(table, table.admit("done", lease(), 1.0))
    table.seal()
    assert table.admit("new", lease(), 1.0).error.code is errors.Code.STOPPING
    sealed = table.export(7, 1.0)
    assert sealed.admit("done", lease()).kind is KIND.REPLAY
    unknown = sealed.admit("never", lease())
    assert unknown.error.verdict is errors.Verdict.NOT_RUN
    assert sealed.keep_until == 600.0 + table.retention


def test_open_table_or_one_with_a_running_key_is_not_exported():
    table = decisions.KeyTable()
    table.admit("k", lease(), 1.0)
    with pytest.raises(RuntimeError, match="sealed first"):
        table.export(7, 1.0)
    table.seal()
    with pytest.raises(RuntimeError, match="1 keys are still running"):
        table.export(7, 1.0)
