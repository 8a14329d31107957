# What an installation switches on beyond the platform's configuration. `foldlb serve --operator deploy/operator.hcl`
# reads it; without it everything here is off. Paths that are not absolute count from this file's folder. Each value
# below is the default, unless its comment says otherwise. `foldlb check-config --operator FILE` names what is wrong.

control {
  # The Unix socket for `foldlb status` and `foldlb upgrade`, for the dispatcher's own user only (mode 0600).
  # Default: none, which leaves upgrades off.
  socket = "foldlb.sock"
}

upgrade {
  # The program that an upgrade starts. Default: the path that the running one was started from.
  # binary = "../bin/foldlb"

  start_within   = "10s"    # for the new process to say hello, and again to take up a first snapshot
  probation      = "1500ms" # for which it follows every step of the old one before it takes over
  hold_at_most   = "150ms"  # for the old process to come to rest
  take_within    = "300ms"  # for the new one to take everything up; callers wait meanwhile
  act_within     = "100ms"  # for it to act once it was told to; the three together: 600ms at most
  same_decisions = false    # fall back where the new process, while it follows, decides otherwise
  keep_pid       = false    # a small first process stays, so that a supervisor sees one PID for ever

  # Rewritten at each upgrade with the PID of the process that serves. Default: none.
  # pid_file = "foldlb.pid"
}

log {
  format = "text" # or "json"
}

# What makes the dispatcher a member of its fleet: the members keep a view of which of them run, and `foldlb fleet` shows it.
# Without the block there is no listener and no talk. docs/operators/fleet.md is the page for it.
# fleet {
#   name   = "valle"         # needed; members of another name are not heard
#   listen = "10.0.0.4:7946" # needed; datagrams and connections of other members. Never on the open network
#   # advertise = "10.0.0.4:7946" # where the others find it. Default: listen
#   seeds  = ["10.0.0.5:7946", "10.0.0.6:7946"] # some members to ask; read again on SIGHUP
#   # allow = ["10.0.0.0/24"]  # whom to hear. Default: loopback and private addresses; read again on SIGHUP
#   # lease = "10s"           # for which it may act without touch with over half of the fleet. Default: for any time
#   # routes = "discovery-1"  # what the members call the source of route sets, where its address differs. Default: its address
#   probe_every = "500ms"    # between two questions to a member; with it the times in which failures are known change
# }

# An account of what this dispatcher acted on, for `foldlb audit`; docs/operators/audit.md is the page for it.
# audit {
#   folder  = "record" # where it is written; without one it is in memory only
#   version = 7        # of the configuration, stated by you: raise it with each change, also with a roll-back. Read again on SIGHUP
#   files   = 16       # that are kept
#   file_mb = 4        # of each
#   bring_up = true    # with a fleet: a newer configuration's shared part is taken from members that act on it
# }
