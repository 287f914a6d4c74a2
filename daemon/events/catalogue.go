// Package events records what a process does as numbered events, each of which
// is listed in the catalogue. Events are written to the log and to a bounded
// buffer, from which the timeline of all processes is merged.
package events

import "go.uber.org/zap/zapcore"

// ID is the number of an event. Numbers are stable: alerts refer to them.
type ID uint16

// Events of the supervisor tree and of all roles.
const (
	ProcessStarted     ID = 100
	ProcessReady       ID = 101
	ProcessDraining    ID = 102
	ProcessStopped     ID = 103
	ChildFailed        ID = 110
	ChildPanicked      ID = 111
	ChildStuck         ID = 112
	InvariantViolated  ID = 113
	HandlerPanicked    ID = 114
	ClockRefused       ID = 120
	CertificateReread  ID = 130
	CertificateRefused ID = 131
	PeerForbidden      ID = 132
	ConnectionRefused  ID = 133
	SettingsReread     ID = 134
	ClientsLimited     ID = 135
)

// Events of membership.
const (
	MemberRegistered ID = 200
	LeaseRenewFailed ID = 201
	LeaseLapsed      ID = 202
	LeaseLost        ID = 203
	RegisterFailed   ID = 204
	ConfigApplied    ID = 210
	WatchFailed      ID = 211
	WatchUnchanged   ID = 212
	MemberExpired    ID = 220
	MemberLeft       ID = 221
	MemberDraining   ID = 222
)

// Events of control.
const (
	StorageOpened     ID = 300
	StorageTornTail   ID = 301
	StorageFailed     ID = 302
	SnapshotSaved     ID = 303
	SnapshotInstalled ID = 304
	// The disk of a control VM refuses writes, and accepts them again.
	StorageUnavailable ID = 305
	StorageAvailable   ID = 306
	LeaderElected      ID = 310
	LeaderLost         ID = 311
	PeerUnreachable    ID = 312
	GroupChanged       ID = 313
	TicketApplied      ID = 320
	TicketRefused      ID = 321
	JobTakenOver       ID = 330
	// Events of coordinators.
	GroupChangeProposed  ID = 340
	TermBegan            ID = 341
	TermEnded            ID = 342
	ConfigurationTaken   ID = 343
	ConfigurationWrong   ID = 344
	OperatorAnswered     ID = 345
	ConfigurationApplied ID = 346
	ConfigurationSent    ID = 347
	RouteUnknown         ID = 348
	GroupLeft            ID = 349
	WorkAccepted         ID = 350
	WorkRefused          ID = 351
	WorkUncertain        ID = 352
	WorkCancelled        ID = 353
	WorkClosed           ID = 354
	ForgetFailed         ID = 355
	RunOrdered           ID = 356
	RunEnded             ID = 357
	AgentEnrolled        ID = 358
	AgentRemoved         ID = 359
	EndpointJoined       ID = 360
	ClientLost           ID = 361
	StartRefused         ID = 362
	EndsUncertain        ID = 363
	WorkLate             ID = 364
	WorkFailed           ID = 365
	WorkAbandoned        ID = 366
	EndpointUnreachable  ID = 367
	LeaderStalled        ID = 368
	// The leader refuses work for lack of memory, and accepts it again.
	MemoryShort     ID = 369
	MemoryAvailable ID = 370
	// Pairs of queues whose tasks slow each other down, and no longer do.
	InterferenceFound   ID = 371
	InterferenceDropped ID = 372
	WorkGivenUp         ID = 373
	// Drains of data centres.
	DataCentreDrained ID = 380
	DrainWithdrawn    ID = 381
	NoDataCentreLeft  ID = 382
	DrainRejected     ID = 383
	// Shares of queues.
	SharesAdjusted ID = 390
	SharesDecided  ID = 391
	// RelayBegan is the connection of an agent through an entry.
	RelayBegan ID = 392
)

// Events of entries.
const (
	JobAccepted           ID = 400
	JobJoined             ID = 401
	JobRefused            ID = 402
	JobFinished           ID = 403
	JobCancelled          ID = 404
	JobRecovered          ID = 405
	FinishFailed          ID = 406
	AnsweredUnrecorded    ID = 407
	CallFinished          ID = 410
	TaskSent              ID = 420
	TaskAnswered          ID = 421
	TaskRetried           ID = 422
	TaskFateAsked         ID = 423
	TaskFateLearned       ID = 424
	PeerConnected         ID = 430
	PeerLost              ID = 431
	LeaderFound           ID = 440
	LeaderGone            ID = 441
	RequestFailed         ID = 442
	RequestRefused        ID = 443
	LocalPlacementBegan   ID = 444
	LocalPlacementEnded   ID = 445
	JobHandedOver         ID = 446
	ConfigurationReceived ID = 447
	RelayEnded            ID = 448
	RefusalWithheld       ID = 449
)

// Events of agents.
const (
	TaskStarted    ID = 500
	TaskEnded      ID = 501
	TaskRefused    ID = 502
	JobCancelSeen  ID = 504
	JobCancelLate  ID = 505
	EndpointFailed ID = 510

	EndpointRegistered ID = 520
	EndpointDraining   ID = 521
	EndpointLeft       ID = 522
	SessionBegan       ID = 523
	SessionEnded       ID = 524
	StartUnanswered    ID = 525
	EndpointSilent     ID = 526
	EndpointAnswers    ID = 527
	EndpointLapsed     ID = 528
	RegistrationWrong  ID = 529
	SessionOrphaned    ID = 530
	EntryJoined        ID = 531
	EndpointRecalled   ID = 532
	RowIgnored         ID = 533
)

// Definition describes an event for operators.
type Definition struct {
	ID    ID
	Name  string
	Level zapcore.Level
	// Help states what happened and what an operator should do.
	Help string
}

// Catalogue lists all events in the order of their numbers. docs/events.md is
// generated from it by make generate.
var Catalogue = []Definition{
	{ProcessStarted, "process_started", zapcore.InfoLevel, "the process has read its settings and starts its components"},
	{ProcessReady, "process_ready", zapcore.InfoLevel, "the process serves requests"},
	{ProcessDraining, "process_draining", zapcore.InfoLevel, "a planned stop began; open work is completed first"},
	{ProcessStopped, "process_stopped", zapcore.InfoLevel, "the process ends"},
	{ChildFailed, "child_failed", zapcore.WarnLevel, "a component of the process failed and is restarted; if it repeats, check the error"},
	{ChildPanicked, "child_panicked", zapcore.ErrorLevel, "a component of the process panicked and is restarted; report it with the stack"},
	{ChildStuck, "child_stuck", zapcore.ErrorLevel, "a component did not stop within its time-out; its work may have been interrupted"},
	{InvariantViolated, "invariant_violated", zapcore.ErrorLevel, "an internal invariant was violated; the component was stopped before it answered; report it"},
	{HandlerPanicked, "handler_panicked", zapcore.ErrorLevel, "a request's handler panicked; the request got no answer; report it with the stack"},
	{ClockRefused, "clock_refused", zapcore.WarnLevel, "the timestamp of a received message was too far ahead of this process's clock and was ignored; check the clocks of the sender and of this VM"},
	{CertificateReread, "certificate_reread", zapcore.InfoLevel, "a changed certificate file is in use"},
	{CertificateRefused, "certificate_refused", zapcore.WarnLevel, "a changed certificate file can't be used; the earlier one stays in use; replace the file before the earlier one expires"},
	{PeerForbidden, "peer_forbidden", zapcore.WarnLevel, "a peer's certificate does not allow the request; check its organizational unit and which process sent the request"},
	{ConnectionRefused, "connection_refused", zapcore.WarnLevel, "a connection was closed because too many are open; find the client that opens them"},
	{SettingsReread, "settings_reread", zapcore.InfoLevel, "the settings file was read again after SIGHUP; if the event has an error, the earlier settings stay in use"},
	{ClientsLimited, "clients_limited", zapcore.WarnLevel, "clients met limits of a listener; the detail counts the limits that were met since the last such event; find the clients, or raise the limit's setting if they are in order"},
	{MemberRegistered, "member_registered", zapcore.InfoLevel, "the process is registered with control and has a lease under a new incarnation"},
	{LeaseRenewFailed, "lease_renew_failed", zapcore.WarnLevel, "the lease was not renewed and the renewal is retried; if it repeats, check that control has a leader, and the link to it"},
	{LeaseLapsed, "lease_lapsed", zapcore.ErrorLevel, "the lease expired by this process's clock; nothing new starts until control renews the lease or registers the process again; check the link to the control VMs and the load of this VM"},
	{LeaseLost, "lease_lost", zapcore.WarnLevel, "control no longer has an active member under this incarnation and the process registers again; no action needed if it is rare"},
	{RegisterFailed, "register_failed", zapcore.WarnLevel, "control did not register this process and the registration is retried; check `control` in the settings, the link, and that control has a leader"},
	{ConfigApplied, "config_applied", zapcore.InfoLevel, "a newer configuration or list of members is in force in this process"},
	{WatchFailed, "watch_failed", zapcore.WarnLevel, "the watch of the configuration failed and the current configuration stays in force; if it repeats, check that control has a leader"},
	{WatchUnchanged, "watch_unchanged", zapcore.DebugLevel, "a watch ended without changes; the member starts the next one"},
	{MemberExpired, "member_expired", zapcore.WarnLevel, "a member's lease expired: it crashed or lost its connection; restart it or replace its VM"},
	{MemberLeft, "member_left", zapcore.InfoLevel, "a member completed its planned stop"},
	{MemberDraining, "member_draining", zapcore.InfoLevel, "a member began its planned stop"},
	{StorageOpened, "storage_opened", zapcore.InfoLevel, "the data folder is open and its log is replayed"},
	{StorageTornTail, "storage_torn_tail", zapcore.WarnLevel, "the log ended in a partial record, as after a crash, and was truncated; no action needed"},
	{StorageFailed, "storage_failed", zapcore.ErrorLevel, "a write or sync failed; the daemon stops, or closes the data folder until the disk accepts writes; check the disk, and replace the VM if it fails again"},
	{SnapshotSaved, "snapshot_saved", zapcore.InfoLevel, "a snapshot is saved and the log before it is removed"},
	{SnapshotInstalled, "snapshot_installed", zapcore.InfoLevel, "this control VM caught up from the leader's snapshot"},
	{StorageUnavailable, "storage_unavailable", zapcore.ErrorLevel, "the disk refuses writes, for example because it is full; this control VM has no part in the group until the disk accepts writes; free space or replace the VM"},
	{StorageAvailable, "storage_available", zapcore.InfoLevel, "the disk accepts writes again and the data folder is opened"},
	{LeaderElected, "leader_elected", zapcore.InfoLevel, "this control VM is the leader"},
	{LeaderLost, "leader_lost", zapcore.WarnLevel, "this control VM is no longer the leader; if it repeats, check its disk, its load and the links between control VMs"},
	{PeerUnreachable, "peer_unreachable", zapcore.WarnLevel, "messages to another control VM fail; check that VM and the link"},
	{GroupChanged, "group_changed", zapcore.InfoLevel, "the group of control VMs changed"},
	{TicketApplied, "ticket_applied", zapcore.InfoLevel, "a ticket is committed"},
	{TicketRefused, "ticket_refused", zapcore.InfoLevel, "a ticket was not applied: another one has its number, or a newer one changed the same object"},
	{JobTakenOver, "job_taken_over", zapcore.WarnLevel, "a job was assigned to another owner after its entry ended; find out why the entry ended"},
	{GroupChangeProposed, "group_change_proposed", zapcore.InfoLevel, "the leader adds, promotes or removes a control VM"},
	{TermBegan, "term_began", zapcore.InfoLevel, "this control VM is the leader and has restored the open jobs"},
	{TermEnded, "term_ended", zapcore.WarnLevel, "this control VM no longer places tasks; another one takes over"},
	{ConfigurationTaken, "configuration_taken", zapcore.InfoLevel, "a configuration is recorded; the detail says whether it came into force (true) or a higher version was in force (false)"},
	{ConfigurationWrong, "configuration_wrong", zapcore.WarnLevel, "an operator sent an invalid configuration; the error says what is wrong"},
	{OperatorAnswered, "operator_answered", zapcore.InfoLevel, "a request of an operator was answered; the detail says whether the leader, named as peer, confirmed it, and how long that took"},
	{ConfigurationApplied, "configuration_applied", zapcore.InfoLevel, "this control VM has applied a configuration; its version is in force unless a higher one is"},
	{ConfigurationSent, "configuration_sent", zapcore.InfoLevel, "this control VM sent the configuration that it has applied to an entry"},
	{RouteUnknown, "route_unknown", zapcore.InfoLevel, "a request names no queue of the configuration in force"},
	{GroupLeft, "group_left", zapcore.InfoLevel, "this control VM stops as planned; the detail says whether its successor has replaced it"},
	{WorkAccepted, "work_accepted", zapcore.InfoLevel, "a job with steps is recorded; its tasks may start"},
	{WorkRefused, "work_refused", zapcore.InfoLevel, "a job was refused because it would complete too late; this process has started none of its tasks"},
	{WorkUncertain, "work_uncertain", zapcore.WarnLevel, "a job was being recorded when the leadership was lost or the write failed; whether it is recorded is unknown, and its entry is told so"},
	{WorkCancelled, "work_cancelled", zapcore.InfoLevel, "a caller cancelled a job; its runs are stopped"},
	{WorkClosed, "work_closed", zapcore.InfoLevel, "a job is final: it completed, failed or was cancelled"},
	{ForgetFailed, "forget_failed", zapcore.WarnLevel, "the removal of final jobs or absent VMs from the records could not be confirmed; the next term of a leader repeats it"},
	{RunOrdered, "run_ordered", zapcore.InfoLevel, "an agent was ordered to start or stop a run"},
	{RunEnded, "run_ended", zapcore.InfoLevel, "a run ended"},
	{AgentEnrolled, "agent_enrolled", zapcore.InfoLevel, "an agent is recorded as one whose endpoint may run tasks; a new leader waits for the runs of these"},
	{AgentRemoved, "agent_removed", zapcore.InfoLevel, "an absent agent is no longer recorded, since nothing can run at its endpoint; the detail says if it has enrolled again in the meantime and stays"},
	{EndpointJoined, "endpoint_joined", zapcore.InfoLevel, "an agent began a session; the detail counts the running and ended runs that its endpoint lists"},
	{ClientLost, "client_lost", zapcore.WarnLevel, "the connection of an entry or agent ended; if it repeats, check that VM and the link"},
	{StartRefused, "start_refused", zapcore.InfoLevel, "an endpoint did not start a run; the task is queued again"},
	{EndsUncertain, "ends_uncertain", zapcore.WarnLevel, "whether the ends of some runs are recorded is unknown; their agent sends them again in its next session"},
	{WorkLate, "work_late", zapcore.WarnLevel, "a best-effort job was completed after its objective; the history in the detail shows where its tasks waited or ran"},
	{WorkFailed, "work_failed", zapcore.WarnLevel, "a job failed: a task used up its attempts; the history in the detail names the endpoints"},
	{WorkAbandoned, "work_abandoned", zapcore.WarnLevel, "the caller of a best-effort job stopped waiting before the job ended; the history in the detail shows the job's progress"},
	{EndpointUnreachable, "endpoint_unreachable", zapcore.WarnLevel, "an agent joined whose endpoint does not answer it; the detail counts the runs that may exist there; check that endpoint"},
	{LeaderStalled, "leader_stalled", zapcore.WarnLevel, "the leader was held up for so long that entries and agents may take it for lost; the detail says whether its own work took the time, or the process did not run"},
	{MemoryShort, "memory_short", zapcore.WarnLevel, "the leader refuses new jobs and larger configurations, since what it has accepted takes too much of its memory; cancel jobs, or give the control VMs more memory"},
	{MemoryAvailable, "memory_available", zapcore.InfoLevel, "the leader has memory for new jobs again"},
	{InterferenceFound, "interference_found", zapcore.InfoLevel, "tasks of a queue take longer beside tasks of another queue on one endpoint, and are placed elsewhere where there is room; the detail has both queues, the factor, the confidence and the number of runs"},
	{InterferenceDropped, "interference_dropped", zapcore.InfoLevel, "there is no longer enough evidence that tasks of a queue take longer beside tasks of another queue; they are placed without regard to each other"},
	{WorkGivenUp, "work_given_up", zapcore.InfoLevel, "a job that may have run was given up because it would complete too late; its caller was told that the outcome is uncertain"},
	{DataCentreDrained, "data_centre_drained", zapcore.InfoLevel, "this control VM has applied an operator's order: no more tasks start on the endpoints of the data centre in the detail; it is repeated when a restarted VM reads its log"},
	{DrainWithdrawn, "drain_withdrawn", zapcore.InfoLevel, "this control VM has applied the withdrawal of the drain of the data centre in the detail; it is repeated when a restarted VM reads its log"},
	{NoDataCentreLeft, "no_data_centre_left", zapcore.WarnLevel, "all data centres of the settings are drained, the one in the detail last, and no task starts anywhere; withdraw the drain of one if that is not intended"},
	{DrainRejected, "drain_rejected", zapcore.InfoLevel, "an order about the data centre in the detail was rejected, because there was another order about it since this one was forwarded; the control VM that took the order tries it again for up to 0.9 s"},
	{SharesAdjusted, "shares_adjusted", zapcore.WarnLevel, "a setting of `queue_shares` can't be applied as it is under the configuration whose version is the ticket; the detail has the names that no queue has, which are ignored, and the pools whose shares are over 100% in all and are scaled down; correct the settings of the control VMs and entries, or the configuration"},
	{SharesDecided, "shares_decided", zapcore.InfoLevel, "tasks of queues that used less than their shares were placed before waiting tasks of other queues; the detail counts them by queue since the last such event, which is at least 10 s ago"},
	{RelayBegan, "relay_began", zapcore.WarnLevel, "the agent has no connection of its own to this leader and is connected through the entry in the detail; check the network between the agent and the control VMs"},
	{JobAccepted, "job_accepted", zapcore.DebugLevel, "a job is recorded; its tasks may start"},
	{JobJoined, "job_joined", zapcore.DebugLevel, "a resubmission was attached to the existing job"},
	{JobRefused, "job_refused", zapcore.DebugLevel, "a job was refused as a whole; none of its tasks ran"},
	{JobFinished, "job_finished", zapcore.DebugLevel, "the outcome of a job is known; the detail has its state"},
	{JobCancelled, "job_cancelled", zapcore.DebugLevel, "a caller cancelled a job"},
	{JobRecovered, "job_recovered", zapcore.InfoLevel, "this entry has taken over a job whose entry ended, and continues it"},
	{FinishFailed, "finish_failed", zapcore.WarnLevel, "a job's outcome could not be recorded yet and is retried; if it repeats, check that control has a leader"},
	{AnsweredUnrecorded, "answered_unrecorded", zapcore.WarnLevel, "control could not record a job's outcome in time, and the caller was answered before the record; if this entry is lost before control has the record, a resubmission may get may_have_run; restore a majority of the control VMs"},
	{CallFinished, "call_finished", zapcore.DebugLevel, "a repeatable call has ended; the detail has its state"},
	{TaskSent, "task_sent", zapcore.DebugLevel, "a task was sent to an agent"},
	{TaskAnswered, "task_answered", zapcore.DebugLevel, "an agent answered a task"},
	{TaskRetried, "task_retried", zapcore.DebugLevel, "a task that did not run is sent again"},
	{TaskFateAsked, "task_fate_asked", zapcore.DebugLevel, "an agent's answer about a task was lost; the agent is queried for the task's fate: started, ended or denied"},
	{TaskFateLearned, "task_fate_learned", zapcore.DebugLevel, "the fate of a task whose answer was lost is known; the detail has the state in which it ended, or says that the agent denied it: it did not and will not start it"},
	{PeerConnected, "peer_connected", zapcore.InfoLevel, "an agent is an active member, and this entry can send it tasks"},
	{PeerLost, "peer_lost", zapcore.WarnLevel, "an agent ended or its connection broke; if it repeats, check the agent and the link"},
	{LeaderFound, "leader_found", zapcore.InfoLevel, "this process is connected to the leading control VM"},
	{LeaderGone, "leader_gone", zapcore.WarnLevel, "the connection to the leading control VM ended; the process looks for the leader again"},
	{RequestFailed, "request_failed", zapcore.WarnLevel, "a caller got no definite answer because no leader answered in time, or because its job, which may have run, was given up"},
	{RequestRefused, "request_refused", zapcore.InfoLevel, "a request was refused because the system is overloaded or not ready; the detail says when the caller may retry, who refused it, how long it had waited, and how often it was passed to a leader or placed here"},
	{LocalPlacementBegan, "local_placement_began", zapcore.WarnLevel, "this entry has found no leader and places best-effort jobs itself; check that control has a leader"},
	{LocalPlacementEnded, "local_placement_ended", zapcore.InfoLevel, "this entry has found a leader and hands its jobs over; the detail counts them"},
	{JobHandedOver, "job_handed_over", zapcore.InfoLevel, "a job that this entry placed continues with the leader; the detail counts its completed tasks and the endpoints with runs"},
	{ConfigurationReceived, "configuration_received", zapcore.InfoLevel, "this entry received another version of the configuration; the detail says from whom"},
	{RelayEnded, "relay_ended", zapcore.InfoLevel, "this entry no longer relays the agent, or as many agents, to the leader; the detail counts the causes within a second"},
	{RefusalWithheld, "refusal_withheld", zapcore.InfoLevel, "a job was refused as one that has not run, but an earlier leader or this entry may have started it; its caller was told that the outcome is uncertain; the detail has the refusal, who gave it, and what happened to the request before"},
	{TaskStarted, "task_started", zapcore.DebugLevel, "a task started at the endpoint"},
	{TaskEnded, "task_ended", zapcore.DebugLevel, "a task ended at the endpoint"},
	{TaskRefused, "task_refused", zapcore.DebugLevel, "a task was refused; it did not run here"},
	{JobCancelSeen, "job_cancel_seen", zapcore.DebugLevel, "the cancellation of a job reached the agent"},
	{JobCancelLate, "job_cancel_late", zapcore.DebugLevel, "the cancellation of a job found none of its tasks in progress here"},
	{EndpointFailed, "endpoint_failed", zapcore.WarnLevel, "the endpoint can't be reached; check the endpoint beside this agent"},
	{EndpointRegistered, "endpoint_registered", zapcore.InfoLevel, "the endpoint beside this agent registered under a new incarnation"},
	{EndpointDraining, "endpoint_draining", zapcore.InfoLevel, "the endpoint is shutting down and gets no new runs"},
	{EndpointLeft, "endpoint_left", zapcore.InfoLevel, "the endpoint has deregistered from this agent and gets no new runs"},
	{SessionBegan, "session_began", zapcore.InfoLevel, "the endpoint has accepted the agent's fencing token; the lists of the endpoint's runs were sent to the leader, if there is one"},
	{SessionEnded, "session_ended", zapcore.InfoLevel, "the agent's session with the endpoint ended; the next one begins once the endpoint is registered and the agent has a fencing token"},
	{StartUnanswered, "start_unanswered", zapcore.WarnLevel, "the endpoint did not answer a start; if it does not list the run, the agent stops the run before the task may start elsewhere"},
	{EndpointSilent, "endpoint_silent", zapcore.WarnLevel, "the endpoint has not answered its agent's latest requests; check the endpoint"},
	{EndpointAnswers, "endpoint_answers", zapcore.InfoLevel, "the endpoint answers again"},
	{EndpointLapsed, "endpoint_lapsed", zapcore.WarnLevel, "the endpoint has not answered for so long that the deadlines of all its runs have passed, so nothing runs there any more; check the endpoint"},
	{RegistrationWrong, "registration_wrong", zapcore.WarnLevel, "an endpoint's registration is invalid and was rejected; the error says what is wrong"},
	{SessionOrphaned, "session_orphaned", zapcore.WarnLevel, "the agent lost the leader; its session continues, and entries may order runs while there is no leader"},
	{EntryJoined, "entry_joined", zapcore.InfoLevel, "an entry may order runs here while there is no leader"},
	{EndpointRecalled, "endpoint_recalled", zapcore.InfoLevel, "the endpoint has not registered since this agent started; until it does, the agent uses the incarnation of the endpoint that the control VMs have recorded"},
	{RowIgnored, "row_ignored", zapcore.WarnLevel, "a row of an endpoint's lists can't be read and was ignored; the others are used; the error says what is wrong with it"},
}

var byID = index(Catalogue)

func index(list []Definition) map[ID]Definition {
	m := make(map[ID]Definition, len(list))
	for _, d := range list {
		m[d.ID] = d
	}
	return m
}

// Name returns an event's name in the catalogue.
func (id ID) Name() string { return byID[id].Name }
