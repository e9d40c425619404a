"""Records of VMs in the table service: their pool and their phase."""

import dataclasses
import enum
import json

VM_PREFIX = "vm/"


class VmPhase(enum.StrEnum):
    """Phase of a VM in a move or in maintenance."""

    SERVING = "serving"
    DRAINING = "draining"
    EMPTY = "empty"
    REBOOTING = "rebooting"
    JOINED = "joined"


@dataclasses.dataclass(frozen=True, slots=True)
class VmRecord:
    """Pool of one VM, and its move or maintenance in progress.

    Attributes:
        vm_id: Name of the VM.
        pool: The one pool that the VM belongs to.
        phase: Phase of the move or maintenance in progress.
        move_id: Identifies the move or maintenance; empty if none.
        target_pool: Pool that the VM moves to; empty for maintenance.
        maintained_at: Time of the last maintenance, in seconds since the epoch
            by the clock of the planner; 0 if never.
        boot: Boot count of the VM when its reboot was requested; 0 if none.
    """

    vm_id: str
    pool: str
    phase: VmPhase = VmPhase.SERVING
    move_id: str = ""
    target_pool: str = ""
    maintained_at: int = 0
    boot: int = 0


def make_vm_key(vm_id: str) -> str:
    """Returns the row key of a VM."""
    return VM_PREFIX + vm_id


def encode_vm_record(record: VmRecord) -> str:
    """Returns a VM's record as JSON text for its row."""
    return json.dumps(dataclasses.asdict(record))


def decode_vm_record(value: str) -> VmRecord:
    """Returns the VM's record from the text of its row.

    Raises:
        ValueError: The text isn't valid JSON or holds an invalid value.
    """
    document = json.loads(value)
    return VmRecord(
        vm_id=document["vm_id"],
        pool=document["pool"],
        phase=VmPhase(document["phase"]),
        move_id=document["move_id"],
        target_pool=document["target_pool"],
        maintained_at=document["maintained_at"],
        boot=document["boot"],
    )
