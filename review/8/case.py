"""A daemon stands still for 5 s while a key is taken away; see claim.txt."""
import pathlib
import signal
import sys
import threading

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
from rig import Broken, TROUBLE, Unusable, run  # noqa: E402

FREEZE_S = 5.0
TURNED_AWAY_S = 7.0
REVOCATION_S = 5.0


def play(rig):
    rig.add_executors(6)
    rig.publish(["key-a", "key-b"])
    rig.add_daemons(7)
    victim = rig.daemons[0]
    for daemon in rig.daemons:
        status, _ = daemon.call("GET", "/urgent/", key="key-b")
        if status != 200:
            raise Unusable("the key is not accepted before it is taken away")
    rig.sleep_until(rig.now() + 2.0)
    if TROUBLE:
        rig.note(f"{victim.name} stands still for {FREEZE_S} s")
        victim.signal(signal.SIGSTOP)
    frozen_at = rig.now()
    # The store answers the watches that wait there, without a change.
    rig.sleep_until(frozen_at + 1.1)
    revoked_at = rig.publish(["key-a"])
    if TROUBLE:
        rig.note(f"the store gives {victim.name} no response for "
                 f"{TURNED_AWAY_S} s")
        victim.proxy.mode = "silent"
    answers = []

    def ask():
        sent_at = rig.now()
        status, text = victim.call("GET", "/urgent/", key="key-b", timeout=10)
        rig.note(f"client: GET /urgent/ with key-b at {victim.name}, sent "
                 f"{sent_at - revoked_at:.3f} s after the acknowledgement: "
                 f"{status} {text}")
        answers.append((sent_at - revoked_at, status))

    askers = []
    while rig.now() < revoked_at + TURNED_AWAY_S + 3.0:
        if TROUBLE and rig.now() >= frozen_at + FREEZE_S:
            victim.signal(signal.SIGCONT)
        if rig.now() >= revoked_at + TURNED_AWAY_S:
            victim.proxy.mode = "pass"
        asker = threading.Thread(target=ask)
        asker.start()
        askers.append(asker)
        rig.sleep_until(rig.now() + 0.1)
    for asker in askers:
        asker.join()
    late = [after for after, status in answers
            if after > REVOCATION_S and status == 200]
    if late:
        raise Broken(f"CONFIG: {len(late)} requests with the revoked key were "
                     f"answered with success, the last one sent "
                     f"{max(late):.3f} s after the acknowledgement")


run(__file__, play)
