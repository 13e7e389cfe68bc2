"""Define the events that pool entries and pool agents log.

A line is written for each decision about a job or request, and whenever a
process changes its view of the system. Nothing is written for heartbeats,
polls, watches and lease renewals. The fields of each event are listed in
``docs/OPERATIONS.md``.
"""

import enum

__all__ = ["LogEvent"]


class LogEvent(enum.StrEnum):
    """The event of a log line; its value is the line's ``event`` field.

    Tools match the values, so they don't change between releases.
    """

    # A process starts, stops or is asked to reload its settings. "part died":
    # one of its background tasks ended with an exception.
    STARTING = "starting"
    STARTED = "started"
    STOPPING = "stopping"
    STOPPED = "stopped"
    RELOAD = "reload"
    TASK_FAILED = "part died"

    # An entry answers a request of a caller. "job elsewhere": the job was
    # accepted in another pool than the one to which its queue sends jobs now;
    # "request unreadable": a message of another process of the system;
    # "client refused": a client exceeded a limit of a listener.
    REFUSED = "refused"
    JOB_SUBMITTED = "job submitted"
    CANCEL_ASKED = "cancel asked"
    STATUS_NOT_KNOWN = "status not known"
    STATUS_SHOWN = "status shown"
    NO_SUCH_JOB = "no such job"
    REQUEST_UNREADABLE = "request unreadable"
    CLIENT_REFUSED = "client refused"
    JOB_ELSEWHERE = "job elsewhere"

    # The configuration changes, or an availability zone is taken out of
    # service or brought back in.
    CONFIGURATION_TAKEN = "configuration taken"
    CONFIGURATION_UNREADABLE = "configuration unreadable"
    ZONE_OUT = "zone out"
    ZONE_IN = "zone in"

    # An entry looks for pools that hold jobs though no queue sends them any.
    POOL_FOUND = "pool found"
    POOLS_NOT_LISTED = "pools not listed"

    # The store, or one of its change feeds, stops answering or answers again.
    STORE_LOST = "store lost"
    STORE_REGAINED = "store regained"
    STORE_UNAVAILABLE = "store unavailable"
    ROW_UNREADABLE = "row unreadable"
    FEED_SILENT = "feed silent"
    FEED_ANSWERS = "feed answers"
    FEED_LOST_ITS_HISTORY = "feed lost its history"
    COMMIT_FAILED = "commit failed"
    COMMIT_REJECTED = "commit rejected"

    # The controller role passes between entries. "entry struck out": an entry
    # that is gone is removed from the list of entries.
    ROLE_TAKEN = "role taken"
    ROLE_LOST = "role lost"
    ROLE_RELEASED = "role released"
    ROLE_OFFERED = "role offered"
    HOLDER_SUSPECTED = "holder suspected"
    ROLE_HANDED_OVER = "role handed over"
    ROLE_NOT_TAKEN = "role not taken"
    RENEWAL_FAILED = "renewal failed"
    LOAD_FAILED = "load failed"
    JOBS_LOADED = "jobs loaded"
    PEERS_NOT_READ = "peers not read"
    ENTRY_REGISTERED = "entry registered"
    ENTRY_STRUCK_OUT = "entry struck out"

    # Agents and workers appear, leave, or change their state. "worker set
    # aside": tasks of several jobs failed on it; "worker usual": it is no
    # longer slow; "epoch seen": an agent is called with a newer epoch. "worker
    # announced": somebody says that a worker has started, "departure
    # announced" that it leaves; "worker confirmed" and "announcement refuted":
    # what the worker itself answers.
    AGENT_REGISTERED = "agent registered"
    AGENT_FOUND = "agent found"
    AGENT_SILENT = "agent silent"
    AGENT_ANSWERS = "agent answers"
    WORKER_ANNOUNCED = "worker announced"
    WORKER_CONFIRMED = "worker confirmed"
    DEPARTURE_ANNOUNCED = "departure announced"
    ANNOUNCEMENT_REFUTED = "announcement refuted"
    ANNOUNCEMENT_REFUSED = "announcement refused"
    WORKER_FOUND = "worker found"
    WORKER_LEFT = "worker left"
    WORKER_DRAINING = "worker draining"
    WORKER_BACK = "worker back"
    WORKER_SILENT = "worker silent"
    WORKER_ANSWERS = "worker answers"
    WORKER_CRASHED = "worker crashed"
    WORKER_SET_ASIDE = "worker set aside"
    WORKER_SLOW = "worker slow"
    WORKER_USUAL = "worker usual"
    RUN_TIMES_LEARNED = "run times learned"
    RUN_TIME_NOT_LEARNED = "run time not learned"
    EPOCH_SEEN = "epoch seen"

    # A job is accepted, changes its status or ends. "job restored": a new
    # controller has read the job's progress; "job set aside": an error was
    # raised while it was planned, so plans leave it out for a while.
    JOB_SEEN = "job seen"
    JOB_RESTORED = "job restored"
    JOB_UNREADABLE = "job unreadable"
    JOB_CANCELLED = "job cancelled"
    JOB_STATUS = "job status"
    JOB_SET_ASIDE = "job set aside"
    STATUS_STORED = "status stored"
    JOBS_FORGOTTEN = "jobs forgotten"

    # A run is placed, stopped or ends. "run moved": it is stopped because its
    # worker leaves; "stray run": a worker lists a run that isn't the present
    # one of its task; "run adopted": it lists one that no row knows.
    PLANNING_HELD = "planning held"
    PLANNING_RESUMED = "planning resumed"
    PLAN_FAILED = "plan failed"
    RUN_PLACED = "run placed"
    START_REFUSED = "start refused"
    START_ANSWERED = "start answered"
    STOP_ANSWERED = "stop answered"
    RUN_PREEMPTED = "run preempted"
    CLAIM_REVISED = "claim revised"
    RUN_MOVED = "run moved"
    RUN_SPED_UP = "run sped up"
    RUN_STALLED = "run stalled"
    RUN_ENDED = "run ended"
    TASK_GIVEN_UP = "task given up"
    ENDING_NOT_KNOWN = "ending not known"
    END_OF_ANOTHER_RUN = "end of another run"
    RUN_ADOPTED = "run adopted"
    STRAY_RUN = "stray run"
    STRAY_RUN_STOPPED = "stray run stopped"
