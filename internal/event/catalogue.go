package event

import "go.uber.org/zap"

// The numbers of all events, a hundred to each subject.
const (
	ProcessStarted Number = 1001
	DrainStarted   Number = 1002
	ProcessStopped Number = 1003
	PanicRecovered Number = 1004

	EditAccepted           Number = 1101
	RevisionApplied        Number = 1102
	ConfigurationStale     Number = 1103
	ConfigurationConfirmed Number = 1104
	KeyWithdrawn           Number = 1105

	LeaseAcquired Number = 1201
	LeaseReleased Number = 1202
	LeaseLost     Number = 1203

	RequestAccepted   Number = 1301
	RequestDispatched Number = 1302
	AttemptFailed     Number = 1303
	RequestAnswered   Number = 1304
	RequestRefused    Number = 1305
	StreamResumed     Number = 1306
	ClaimStored       Number = 1307
	CircuitOpened     Number = 1308
	CircuitClosed     Number = 1309

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
	StepNotTaken     Number = 1418

	UpstreamEjected  Number = 1501
	UpstreamRestored Number = 1502
	UpstreamLeaving  Number = 1503
	OrderGiven       Number = 1504
	OrderFailed      Number = 1505
	WeightsPublished Number = 1506
	WeightsLoaded    Number = 1507
	UpstreamListed   Number = 1508
	UpstreamUnlisted Number = 1509
	DomainEvacuated  Number = 1510
	DomainRestored   Number = 1511

	WindowSealed    Number = 1601
	UsageReported   Number = 1602
	UsageIncomplete Number = 1603

	PeerSilent   Number = 1701
	PeerReturned Number = 1702
	BeatFailed   Number = 1703
	PeerRemoved  Number = 1704

	DependencyLost     Number = 1801
	DependencyRegained Number = 1802
	RowUnreadable      Number = 1803
	SettingsReloaded   Number = 1804
	SettingsRejected   Number = 1805
)

// DetailCorrected is the Detail of UsageReported when the report corrects an
// earlier window.
const DetailCorrected = "corrected"

// Catalogue lists every kind of event in the order of the numbers.
var Catalogue = []Definition{
	{ProcessStarted, zap.InfoLevel, "process started", "The process has read its settings and listens."},
	{DrainStarted, zap.InfoLevel, "drain started", "The process got a stop signal and takes no new work."},
	{ProcessStopped, zap.InfoLevel, "process stopped", "All running work has ended and the process exits."},
	{PanicRecovered, zap.ErrorLevel, "panic recovered", "A request handler panicked; only that request failed. Detail gives where."},
	{EditAccepted, zap.InfoLevel, "edit accepted", "An operator's edit was committed at the revision."},
	{RevisionApplied, zap.InfoLevel, "revision applied", "The VM has put the revision in force."},
	{ConfigurationStale, zap.WarnLevel, "configuration stale", "The revision has not been confirmed as current for a long time; the VM may be cut off."},
	{ConfigurationConfirmed, zap.InfoLevel, "configuration confirmed", "The revision is confirmed as current again."},
	{KeyWithdrawn, zap.InfoLevel, "key withdrawn", "A withdrawal is in force; running requests of the key are cancelled. Count gives how many."},
	{LeaseAcquired, zap.InfoLevel, "lease acquired", "The VM holds the lease with the epoch."},
	{LeaseReleased, zap.InfoLevel, "lease released", "The VM gave the lease back."},
	{LeaseLost, zap.WarnLevel, "lease lost", "The VM could not renew in time or another VM took the lease."},
	{RequestAccepted, zap.InfoLevel, "request accepted", "A caller's request was authenticated."},
	{RequestDispatched, zap.InfoLevel, "request dispatched", "An attempt of the request goes to the upstream."},
	{AttemptFailed, zap.WarnLevel, "attempt failed", "The attempt failed; Detail gives the code."},
	{RequestAnswered, zap.InfoLevel, "request answered", "The caller got its whole answer."},
	{RequestRefused, zap.InfoLevel, "request refused", "The caller got a refusal; Detail gives the code and the execution."},
	{StreamResumed, zap.InfoLevel, "stream resumed", "A stream goes on at another upstream after Count tokens."},
	{ClaimStored, zap.InfoLevel, "claim stored", "The claim of a non-idempotent request was stored before its dispatch."},
	{CircuitOpened, zap.WarnLevel, "circuit opened", "The upstream failed several attempts of callers in a row and gets none for a while."},
	{CircuitClosed, zap.InfoLevel, "circuit closed", "An attempt proved the upstream well and it gets attempts again."},
	{StepOpened, zap.InfoLevel, "step opened", "A trainer opened the step."},
	{StepOwned, zap.InfoLevel, "step owned", "The VM owns the step under its lease of the epoch. Count slots already had a sample."},
	{SamplesCommitted, zap.InfoLevel, "samples committed", "Count samples of the step were committed in one transaction."},
	{SamplesDelivered, zap.InfoLevel, "samples delivered", "Count samples went to the trainer."},
	{StepCompleted, zap.InfoLevel, "step completed", "Every slot of the step has a committed sample; Count is the highest number."},
	{SampleRejected, zap.WarnLevel, "sample rejected", "A generated sample was stale or could not be attributed and is generated again."},
	{SamplesWithdrawn, zap.WarnLevel, "samples withdrawn", "Count committed samples went stale before their trainer confirmed them; their slots are generated again."},
	{SlotHedged, zap.InfoLevel, "slot hedged", "A straggling slot is generated a second time, on the peer; the first result counts."},
	{WorkerFailed, zap.WarnLevel, "worker failed", "The peer did not answer a generation of the slot, which runs elsewhere."},
	{StepEnded, zap.InfoLevel, "step ended", "Its trainer ended the step; nothing more of it runs."},
	{StepHandedOver, zap.InfoLevel, "step handed over", "The VM is leaving and gave the step up; another one takes it over."},
	{StepLost, zap.WarnLevel, "step lost", "The store refused results: the step was ended, or another VM owns it by now."},
	{ItemAbandoned, zap.WarnLevel, "item abandoned", "An item of the step was given up; Detail tells why."},
	{StepStartedEarly, zap.InfoLevel, "step started early", "The store has not confirmed the step yet; its items run, but nothing is listed. Count gives how many."},
	{TextsSaved, zap.InfoLevel, "texts saved", "The texts of Count unfinished items were saved, for the case that the step changes hands."},
	{SampleScored, zap.InfoLevel, "sample scored", "The call of the item's whole text returned its score. Request is the call, Upstream made the text's last event, Count is the milliseconds since the text was whole."},
	{ScoreFailed, zap.WarnLevel, "score failed", "The call for the item's score was not answered with one and is made again; Count gives how many upstreams have said that it failed."},
	{StepNotTaken, zap.WarnLevel, "step not taken over", "The change of owner of a step without a living one was not committed; it is tried again. Detail tells why."},
	{UpstreamEjected, zap.WarnLevel, "upstream ejected", "The upstream failed too often and gets no work for a while."},
	{UpstreamRestored, zap.InfoLevel, "upstream restored", "The upstream gets work again."},
	{UpstreamLeaving, zap.InfoLevel, "upstream leaving", "The upstream is leaving and gets no new work."},
	{OrderGiven, zap.InfoLevel, "order given", "An order went to the platform or an engine."},
	{OrderFailed, zap.WarnLevel, "order failed", "An order was refused or its outcome is unknown."},
	{WeightsPublished, zap.InfoLevel, "weights published", "The weight store has a new version; Count gives it."},
	{WeightsLoaded, zap.InfoLevel, "weights loaded", "An engine serves the version that Count gives."},
	{UpstreamListed, zap.InfoLevel, "upstream listed", "The platform's list has a new upstream; Detail gives its service and address."},
	{UpstreamUnlisted, zap.InfoLevel, "upstream unlisted", "The upstream is no longer in the platform's list."},
	{DomainEvacuated, zap.WarnLevel, "failure domain evacuated", "Nothing more goes to the upstreams of the failure domain in Detail, of which Count are known; 0 of a domain in which none runs."},
	{DomainRestored, zap.InfoLevel, "failure domain restored", "The evacuation of the failure domain in Detail is over; its Count upstreams get work again as they warm up."},
	{WindowSealed, zap.InfoLevel, "window sealed", "The VM sealed its usage of the window."},
	{UsageReported, zap.InfoLevel, "usage reported", "The report of the window that starts at Count and of the account was accepted by billing; Detail says whether it corrects an earlier window."},
	{UsageIncomplete, zap.WarnLevel, "usage incomplete", "The report of the window lacks figures of a VM that died; it says so."},
	{PeerSilent, zap.WarnLevel, "peer silent", "A peer has not answered for a while."},
	{PeerReturned, zap.InfoLevel, "peer returned", "A silent peer answers again."},
	{BeatFailed, zap.WarnLevel, "beat failed", "The VM could not write its row in the list of members; Detail gives the failure."},
	{PeerRemoved, zap.InfoLevel, "peer removed", "The row of a VM that has been silent for Count milliseconds was removed from the list of members; it is written anew if the VM comes back."},
	{DependencyLost, zap.WarnLevel, "dependency lost", "Something that the process needs does not answer; Detail names it and the failure."},
	{DependencyRegained, zap.InfoLevel, "dependency regained", "It answers again; Count gives the milliseconds in between."},
	{RowUnreadable, zap.WarnLevel, "row unreadable", "A row of the store is not what this program reads and is left out; Detail names it."},
	{SettingsReloaded, zap.InfoLevel, "settings reloaded", "The settings file was read again; Detail tells what changed."},
	{SettingsRejected, zap.ErrorLevel, "settings rejected", "The settings file holds values that are not allowed; the old ones stay in force. Detail names them."},
}

var catalogue = indexCatalogue()

func indexCatalogue() map[Number]Definition {
	index := make(map[Number]Definition, len(Catalogue))
	for _, d := range Catalogue {
		index[d.Number] = d
	}
	return index
}
