"""Starts and ends the processes that the scenarios of a feature use."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from cluster import Cluster


class ClusterManager:
    """The cluster of one feature, which scenarios share unless one of its processes has ended."""

    def __init__(self):
        self.cluster = Cluster()

    def replace_cluster(self):
        self.cluster.close()
        self.cluster = Cluster()
        return self.cluster


def before_feature(context, feature):
    context.cluster_manager = ClusterManager()


def before_scenario(context, scenario):
    cluster_manager = context.cluster_manager
    context.cluster = (
        cluster_manager.replace_cluster()
        if cluster_manager.cluster.has_ended_process()
        else cluster_manager.cluster
    )
    context.replies = []
    context.traffic = None


def after_scenario(context, scenario):
    if context.traffic is not None:
        context.traffic.stop()


def after_feature(context, feature):
    context.cluster_manager.cluster.close()
