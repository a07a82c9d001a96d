package event

import "go.uber.org/zap"

// Numbers of all events. Each subject has a range of one hundred.
const (
	ProcessStarted      Number = 1001
	DrainStarted        Number = 1002
	ProcessStopped      Number = 1003
	PanicRecovered      Number = 1004
	ProcessPaused       Number = 1005
	ClocksDiverged      Number = 1006
	SocketOptionRefused Number = 1007

	EditAccepted           Number = 1101
	RevisionApplied        Number = 1102
	ConfigurationStale     Number = 1103
	ConfigurationConfirmed Number = 1104
	KeyWithdrawn           Number = 1105

	LeaseAcquired     Number = 1201
	LeaseReleased     Number = 1202
	LeaseLost         Number = 1203
	LeaseLeftToExpire Number = 1204

	RequestAccepted   Number = 1301
	RequestDispatched Number = 1302
	AttemptFailed     Number = 1303
	RequestAnswered   Number = 1304
	RequestRefused    Number = 1305
	StreamResumed     Number = 1306
	ClaimStored       Number = 1307
	CircuitOpened     Number = 1308
	CircuitClosed     Number = 1309
	AttemptCanceled   Number = 1310
	RequestQueued     Number = 1311
	RequestShed       Number = 1312

	StepOpened       Number = 1401
	StepOwned        Number = 1402
	SamplesCommitted Number = 1403
	SamplesDelivered Number = 1404
	StepCompleted    Number = 1405
	SampleRejected   Number = 1406
	SamplesWithdrawn Number = 1407
	SlotHedged       Number = 1408
	WorkerFailed     Number = 1409
	StepEnded        Number = 1410
	StepHandedOver   Number = 1411
	StepLost         Number = 1412
	ItemAbandoned    Number = 1413
	StepStartedEarly Number = 1414
	TextsSaved       Number = 1415
	SampleScored     Number = 1416
	ScoreFailed      Number = 1417
	TakeoverFailed   Number = 1418
	CommitUnknown    Number = 1419
	ResultsAdopted   Number = 1420
	ItemListedTwice  Number = 1421
	ItemHeldBack     Number = 1422
	ItemReleased     Number = 1423
	ItemRunsOn       Number = 1424
	// 1425 was an end of an upstream that no longer counted against an item.
	ItemPostponed        Number = 1426
	ConfigurationAwaited Number = 1427

	UpstreamEjected  Number = 1501
	UpstreamRestored Number = 1502
	UpstreamLeaving  Number = 1503
	OrderSent        Number = 1504
	OrderFailed      Number = 1505
	WeightsPublished Number = 1506
	WeightsLoaded    Number = 1507
	UpstreamListed   Number = 1508
	UpstreamUnlisted Number = 1509
	DomainEvacuated  Number = 1510
	DomainRestored   Number = 1511
	OrderUnanswered  Number = 1512
	OrderHeldBack    Number = 1513

	WindowSealed    Number = 1601
	UsageReported   Number = 1602
	UsageIncomplete Number = 1603

	PeerUnresponsive Number = 1701
	PeerResponsive   Number = 1702
	HeartbeatFailed  Number = 1703
	PeerRemoved      Number = 1704

	DependencyLost     Number = 1801
	DependencyRegained Number = 1802
	RowUnreadable      Number = 1803
	SettingsReloaded   Number = 1804
	SettingsRejected   Number = 1805
	DependencySlow     Number = 1806
)

// DetailCorrected is the Detail of a UsageReported event whose report corrects an
// earlier window.
const DetailCorrected = "corrected"

// Catalogue lists the definitions of all events in ascending order of their numbers.
var Catalogue = []Definition{
	{ProcessStarted, zap.InfoLevel, "process started", "The process has read its settings and accepts connections. Detail names the build: builds of the same sources have the same ID."},
	{DrainStarted, zap.InfoLevel, "drain started", "The process received a stop signal and accepts no new work."},
	{ProcessStopped, zap.InfoLevel, "process stopped", "All running work has ended and the process exits."},
	{PanicRecovered, zap.ErrorLevel, "panic recovered", "A request handler panicked; only its request failed. Detail gives the component."},
	{ProcessPaused, zap.WarnLevel, "process paused", "The process did not run for Count milliseconds: it was paused, or its VM had no processor time."},
	{ClocksDiverged, zap.WarnLevel, "clocks diverged", "The wall clock advanced by Count milliseconds more than the monotonic clock: the VM was suspended, or its wall clock was set. Terms of leases run on the monotonic clock."},
	{SocketOptionRefused, zap.WarnLevel, "socket option refused", "The kernel refused the socket option in Detail, an additional limit of connections for orders and reports. They work without it; the event is emitted once per client."},
	{EditAccepted, zap.InfoLevel, "edit accepted", "An operator's edit was committed as the revision."},
	{RevisionApplied, zap.InfoLevel, "revision applied", "The VM applied the revision of the configuration."},
	{ConfigurationStale, zap.WarnLevel, "configuration stale", "The configuration revision has not been confirmed as current for a long time; the VM may be cut off."},
	{ConfigurationConfirmed, zap.InfoLevel, "configuration confirmed", "The configuration revision is confirmed as current again."},
	{KeyWithdrawn, zap.InfoLevel, "key withdrawn", "The VM applied the withdrawal of the key in Detail and cancelled the key's running requests; Count is their number."},
	{LeaseAcquired, zap.InfoLevel, "lease acquired", "The VM acquired the lease with the given epoch. Detail says why it did not have to wait any longer; \"with an action pending\" that it waited for two terms and their margins instead of one."},
	{LeaseReleased, zap.InfoLevel, "lease released", "The VM released the lease."},
	{LeaseLost, zap.WarnLevel, "lease lost", "The VM did not renew the lease in time, or another VM acquired it."},
	{LeaseLeftToExpire, zap.InfoLevel, "lease left to expire", "The VM stopped its duty but did not release the lease, because an action under it got no answer and may still take effect; the next holder waits for two terms and their margins."},
	{RequestAccepted, zap.InfoLevel, "request accepted", "A caller's request was authenticated."},
	{RequestDispatched, zap.InfoLevel, "request dispatched", "An attempt of the request was sent to the upstream."},
	{AttemptFailed, zap.WarnLevel, "attempt failed", "An attempt failed; Detail gives the failure code. Of an item: \"no connection\" (the item was not sent), \"no answer\", \"broke off\" (the answer ended before the text), \"stalled\" (no event in time), \"answer lost\" (the upstream reports that it has ended, and its end never arrived), \"invalid answer\" (the upstream answered what can't be used), \"endless answer\" (the answer is longer than a proper one can be), or why it was refused, moved or failed. Incarnation is that of the upstream."},
	{RequestAnswered, zap.InfoLevel, "request answered", "The caller received the complete answer."},
	{RequestRefused, zap.InfoLevel, "request refused", "The request was refused; Detail gives the failure code and the execution."},
	{StreamResumed, zap.InfoLevel, "stream resumed", "A stream is continued at another upstream after Count tokens."},
	{ClaimStored, zap.InfoLevel, "claim stored", "The claim of a non-idempotent request was stored before its dispatch."},
	{CircuitOpened, zap.WarnLevel, "circuit opened", "Several consecutive attempts of callers at the upstream failed; it receives none for a while."},
	{CircuitClosed, zap.InfoLevel, "circuit closed", "An attempt at the upstream succeeded, and it receives attempts again."},
	{AttemptCanceled, zap.InfoLevel, "attempt canceled", "An attempt was canceled because another one answered or the request ended; Detail says whether it ran. Unless it is not_run, its usage is counted."},
	{RequestQueued, zap.InfoLevel, "request queued", "The request waited Count milliseconds for capacity of the service in Detail."},
	{RequestShed, zap.InfoLevel, "request shed", "The request was refused while it waited, or instead of waiting; Detail gives the service and the reason, Count the expected wait in milliseconds."},
	{StepOpened, zap.InfoLevel, "step opened", "A trainer opened the step. Detail, if set, is the time from its submission to its acceptance."},
	{StepOwned, zap.InfoLevel, "step owned", "The VM became the owner of the step under a lease with the given epoch; Count slots already have a sample."},
	{SamplesCommitted, zap.InfoLevel, "samples committed", "Count samples of the step were committed in one transaction; Position is that of the first result."},
	{SamplesDelivered, zap.InfoLevel, "samples delivered", "Count samples were sent to the trainer."},
	{StepCompleted, zap.InfoLevel, "step completed", "Every slot of the step has a committed sample; Count is the highest sample number."},
	{SampleRejected, zap.WarnLevel, "sample rejected", "A generated sample was stale or can't be attributed to weight versions; its slot is generated again."},
	{SamplesWithdrawn, zap.WarnLevel, "samples withdrawn", "Count committed samples became stale before the trainer acknowledged them; their slots are generated again."},
	{SlotHedged, zap.InfoLevel, "slot hedged", "A slow slot is generated a second time, by the peer; the first result is used."},
	{WorkerFailed, zap.WarnLevel, "worker failed", "The peer failed to generate the slot, which is assigned to another worker."},
	{StepEnded, zap.InfoLevel, "step ended", "The trainer ended the step; no more of its items run."},
	{StepHandedOver, zap.InfoLevel, "step handed over", "The VM released ownership of the step, so that another VM can take it over; Detail gives the reason."},
	{StepLost, zap.WarnLevel, "step lost", "The store rejected the VM's results, the first of which had the given Position: the step has ended, another VM owns it now, or Detail says that the rows exist."},
	{ItemAbandoned, zap.WarnLevel, "item abandoned", "An item of the step was abandoned; Detail gives the reason."},
	{StepStartedEarly, zap.InfoLevel, "step started early", "Count items of the step run before the store has accepted the step; no results are committed until then."},
	{TextsSaved, zap.InfoLevel, "texts saved", "The texts of Count unfinished items were stored for a possible takeover of the step."},
	{SampleScored, zap.InfoLevel, "sample scored", "The score call for the item's complete text returned a score. Request is the call, Upstream sent the last event of the text, Count is the time in milliseconds since the text was complete."},
	{ScoreFailed, zap.WarnLevel, "score failed", "The score call for the item did not return a score; it is retried unless the item is abandoned. Count is the number of upstreams that have answered with a failure."},
	{TakeoverFailed, zap.WarnLevel, "takeover failed", "The takeover of a step of a dead owner was not committed and is retried; Detail gives the reason."},
	{CommitUnknown, zap.WarnLevel, "commit outcome unknown", "The commit of Count results, the first at Position, ended without a known outcome; Detail gives the failure."},
	{ResultsAdopted, zap.InfoLevel, "results adopted", "The early run that claimed the step adopted the Count results of the previous owner; Detail gives the state of their items in this run."},
	{ItemListedTwice, zap.ErrorLevel, "item listed twice", "The item of the step has a second committed result, at Position; Detail gives the first position. A step must list each item once."},
	{ItemHeldBack, zap.WarnLevel, "item held back", "Count upstreams may have ended under the item or, if Request names it, its score call, as many as are allowed: their answers to it were lost, and none has shown since that it still runs and has given the request up. The item is sent again only if one does. Detail names their incarnations."},
	{ItemReleased, zap.InfoLevel, "item released", "An upstream that may have ended under the item still runs and has given it up, and the item may be sent again. Detail names the other incarnations."},
	{ItemRunsOn, zap.InfoLevel, "item runs on", "The upstream's report lists a run of the item although its attempt has ended here: the upstream goes on with it and may still end under it, or the trainer has submitted the item again and another VM runs it there."},
	{ItemPostponed, zap.InfoLevel, "item postponed", "Count upstreams may have ended under the item, and its next attempt waits, because upstreams of its service have lately ended for causes of their own, or because an item that may end several at once has its last attempt. An end under the attempt would count against the item. Detail gives the reason: the risk of such an end and the expected duration, or the other items."},
	{ConfigurationAwaited, zap.InfoLevel, "configuration awaited", "Nothing can be decided on items of the step under the configuration that the VM has, so that it reads the configuration from the store; Detail gives the reason. Revision is the version under which the step was accepted, if its row tells."},
	{UpstreamEjected, zap.WarnLevel, "upstream ejected", "The upstream failed too often and receives no work for a while."},
	{UpstreamRestored, zap.InfoLevel, "upstream restored", "The upstream receives work again."},
	{UpstreamLeaving, zap.InfoLevel, "upstream leaving", "The upstream is leaving and receives no new work."},
	{OrderSent, zap.InfoLevel, "order sent", "An order was sent to the platform or an engine."},
	{OrderFailed, zap.WarnLevel, "order failed", "An order was refused, its outcome is unknown, or it was not sent: the store did not confirm the lease, the lease was lost, or the receiver could not be reached."},
	{WeightsPublished, zap.InfoLevel, "weights published", "The weight store has a new version; Count is the version."},
	{WeightsLoaded, zap.InfoLevel, "weights loaded", "An engine has loaded the weight version in Count."},
	{UpstreamListed, zap.InfoLevel, "upstream listed", "The platform's list contains a new upstream; Detail gives its service and address. For many at once, there is one event with their number as Count."},
	{UpstreamUnlisted, zap.InfoLevel, "upstream unlisted", "The upstream is no longer in the platform's list, or this VM no longer needs it. For many at once, there is one event with their number as Count."},
	{DomainEvacuated, zap.WarnLevel, "failure domain evacuated", "The failure domain in Detail is evacuated; its upstreams receive no more work. Count is the number of its listed upstreams."},
	{DomainRestored, zap.InfoLevel, "failure domain restored", "The evacuation of the failure domain in Detail has ended; its Count upstreams receive work again as they warm up."},
	{OrderUnanswered, zap.WarnLevel, "order unanswered", "An order to an engine got no answer and may still take effect. Detail gives the expected sequence number, the rest of the term when the order was started, and the time until it was abandoned."},
	{OrderHeldBack, zap.WarnLevel, "order held back", "A load of the weight version in Count is due on an engine that this lease holder has not yet seen running for long enough, or at which an order of an earlier holder got no answer recently, since that order may still arrive there. Reported once per engine and term; Detail gives the model, when the first load was due, whether such an order is pending, and the failure of the last probe."},
	{WindowSealed, zap.InfoLevel, "window sealed", "The VM stored its final usage of the window that starts at Count."},
	{UsageReported, zap.InfoLevel, "usage reported", "Billing accepted the account's report of the window that starts at Count; Detail says whether the report corrects an earlier window."},
	{UsageIncomplete, zap.WarnLevel, "usage incomplete", "Usage was not stored, not reported or not billed; Detail gives the reason. Without Detail, the account's report lacks usage of a dead VM."},
	{PeerUnresponsive, zap.WarnLevel, "peer unresponsive", "A peer has not answered for a while."},
	{PeerResponsive, zap.InfoLevel, "peer responsive", "An unresponsive peer answers again."},
	{HeartbeatFailed, zap.WarnLevel, "heartbeat failed", "The VM failed to write its status row; Detail gives the error."},
	{PeerRemoved, zap.InfoLevel, "peer removed", "The status row of a VM without a heartbeat for Count milliseconds was removed; the VM writes it again if it returns."},
	{DependencyLost, zap.WarnLevel, "dependency lost", "A dependency does not answer; Detail gives its name and the error."},
	{DependencyRegained, zap.InfoLevel, "dependency regained", "The dependency in Detail is available again; Count is the length of the outage in milliseconds."},
	{RowUnreadable, zap.WarnLevel, "row unreadable", "A row of the store can't be decoded, or holds what can't be right, and is skipped; Detail gives the row and the part, or the error."},
	{SettingsReloaded, zap.InfoLevel, "settings reloaded", "The settings file was reloaded; Detail gives the changes."},
	{SettingsRejected, zap.ErrorLevel, "settings rejected", "The settings file contains invalid values, given in Detail; the previous settings stay in force."},
	{DependencySlow, zap.WarnLevel, "dependency slow", "A dependency answered calls late. Count is the duration in milliseconds of the slowest one since the last such event, without the wait of a long poll; Detail gives the name and the latest of these calls."},
}

var catalogue = indexCatalogue()

func indexCatalogue() map[Number]Definition {
	index := make(map[Number]Definition, len(Catalogue))
	for _, d := range Catalogue {
		index[d.Number] = d
	}
	return index
}
