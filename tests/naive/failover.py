"""Naive failover: trusts the known primary and promotes by one instance's view alone."""

from quetzalrudder.schema.target import Fence, Follow, Promote


def naive_write(instance, request_id, timeout_s):
    """Acknowledge a write when the known primary does, unconfirmed by other databases."""
    primary = instance.groups.primary(instance.group)
    if primary is None:
        return None
    answer = instance.links.write(primary.info, primary.state.term, request_id, timeout_s)
    return answer.position if answer is not None else None


def naive_promote(instance):
    """Promote the first replica that answers; to be called when the link to the primary is down."""
    term = instance.groups.term(instance.group) + 1
    primary = instance.groups.primary(instance.group)
    replicas = [info for target, info in instance.infos.items() if target != primary.info.target]
    fence = Fence(term=term, proposer=instance.name)
    for info in replicas:
        if instance.links.send_to_targets([info], fence, 0.5, bool):
            promote = Promote(term=term, proposer=instance.name)
            instance.links.send_to_targets([info], promote, 0.5, bool)
            others = [other for other in replicas if other != info]
            follow = Follow(term=term, primary=info.target, address=str(info.address))
            instance.links.send_to_targets(others, follow, 0, bool)
            return info.target
    return None
