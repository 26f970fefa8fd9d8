"""Processor time by groups of threads."""

import threading
import time

from dandeliondrum import utils


def _burn(seconds):
    while time.thread_time() < seconds:
        pass


def _part_of(name):
    return 'busy' if name.startswith('busy') else 'rest'


def test_the_time_of_a_thread_counts_for_the_part_of_its_name():
    processor_time = utils.ProcessorTime(_part_of)
    before = processor_time.read()
    burned, finish = threading.Event(), threading.Event()

    def work():
        _burn(0.05)
        burned.set()
        finish.wait()

    thread = threading.Thread(target=work, name='busy-1')
    thread.start()
    burned.wait()
    used = processor_time.read()
    finish.set()
    thread.join()
    assert used['busy'] >= 0.05
    assert used['rest'] - before['rest'] < 0.05


def test_the_time_of_an_exited_thread_is_kept():
    processor_time = utils.ProcessorTime(_part_of)
    burned, finish = threading.Event(), threading.Event()

    def work():
        _burn(0.05)
        burned.set()
        finish.wait()

    thread = threading.Thread(target=work, name='busy-1')
    thread.start()
    burned.wait()
    first = processor_time.read()
    finish.set()
    thread.join()
    second = processor_time.read()
    assert second['busy'] >= first['busy'] >= 0.05


def test_a_renamed_thread_counts_for_its_new_part_from_then_on():
    processor_time = utils.ProcessorTime(_part_of)
    thread = threading.current_thread()
    name = thread.name
    thread.name = 'rest'
    try:
        processor_time.read()
        thread.name = 'busy'
        _burn(time.thread_time() + 0.06)
        used = processor_time.read()
        assert 0.03 <= used['busy'] < 1.0
    finally:
        thread.name = name


def test_the_parts_add_up_to_the_time_of_the_process():
    processor_time = utils.ProcessorTime(_part_of)
    short = threading.Thread(target=_burn, args=(0.03,), name='busy-short')
    short.start()
    short.join()
    used = processor_time.read()
    assert abs(sum(used.values()) - time.process_time()) < 0.05
    assert used[utils.UNKNOWN_PART] >= 0.03


def test_a_supervised_thread_is_named_after_its_task():
    names = []
    supervisor = utils.Supervisor('owner')
    supervisor.run('task', lambda _: names.append(_name()))
    supervisor.close()
    assert names == ['owner: task']


def _name():
    return threading.current_thread().name


def test_virtual_clocks_do_not_count_as_processor_time(monkeypatch):
    processor_time = utils.ProcessorTime(_part_of)
    before = sum(processor_time.read().values())
    elapsed_s = time.monotonic
    monkeypatch.setattr(time, 'clock_gettime', lambda _clock: elapsed_s())
    monkeypatch.setattr(time, 'process_time', elapsed_s)
    assert sum(processor_time.read().values()) - before < 1.0
