"""Tests of the budget for what clients make a process hold."""

from __future__ import annotations

from gentianworks.web.memory import (
    MEBIBYTE,
    SMALL_BODY_BYTES,
    ClientMemory,
    Reservation,
    compute_budget,
)


class TestReservation:
    """A reservation that is not returned, or counted twice, closes the front end."""

    def test_large_bodies_leave_room_for_small_ones(self) -> None:
        memory = ClientMemory(limit_bytes=8 * MEBIBYTE)
        large = [Reservation(memory) for _ in range(8)]
        accepted = [item.extend(2 * MEBIBYTE) for item in large]
        assert accepted.count(True) == 3
        assert Reservation(memory).extend(SMALL_BODY_BYTES)

    def test_one_body_fits_whatever_its_size(self) -> None:
        memory = ClientMemory(limit_bytes=MEBIBYTE)
        assert Reservation(memory).extend(4 * MEBIBYTE)
        assert not Reservation(memory).extend(4 * MEBIBYTE)

    def test_steps_are_returned_in_full(self) -> None:
        memory = ClientMemory(limit_bytes=8 * MEBIBYTE)
        reservation = Reservation(memory)
        for steps in range(1, 40):
            assert reservation.extend(steps * SMALL_BODY_BYTES)
        assert memory.used_bytes == memory.large_bytes == 39 * SMALL_BODY_BYTES
        reservation.release()
        reservation.release()
        assert memory.used_bytes == memory.large_bytes == 0

    def test_a_body_grows_only_within_the_budget(self) -> None:
        memory = ClientMemory(limit_bytes=MEBIBYTE)
        first, second = Reservation(memory), Reservation(memory)
        assert first.extend(512 * 1024)
        assert second.extend(SMALL_BODY_BYTES)
        assert not second.extend(512 * 1024)
        assert memory.used_bytes == 512 * 1024 + SMALL_BODY_BYTES


class TestComputeBudget:
    def test_leaves_room_for_the_process_and_its_answers(self) -> None:
        for megabytes in (152, 200, 300):
            limit = megabytes * MEBIBYTE
            budget = compute_budget(limit, limit // 8)
            assert 8 * MEBIBYTE < budget < limit - limit // 8 - 45 * MEBIBYTE
