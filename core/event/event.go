// Package event numbers the log events. docs/EVENTS.md explains each of them.
package event

import (
	"context"
	"log/slog"
)

// Event is a kind of log entry with a fixed number.
type Event struct {
	number int
	level  slog.Level
	text   string
}

// Number returns the event's number.
func (e Event) Number() int { return e.number }

// Level returns the severity.
func (e Event) Level() slog.Level { return e.level }

// Text returns the message.
func (e Event) Text() string { return e.text }

// Log writes the event with attributes, as slog takes them.
func (e Event) Log(logger *slog.Logger, attributes ...any) {
	logger.Log(context.Background(), e.level, e.text, append([]any{"event", e.number}, attributes...)...)
}

// Events of the instance as a whole.
var (
	Started          = Event{100, slog.LevelInfo, "instance started"}
	Draining         = Event{101, slog.LevelInfo, "graceful shutdown started"}
	Stopped          = Event{102, slog.LevelInfo, "instance stopped"}
	ShutdownTimedOut = Event{103, slog.LevelWarn, "graceful shutdown reached its time bound"}
	ListenerFailed   = Event{104, slog.LevelError, "a listener failed"}
	SettingsReloaded = Event{105, slog.LevelInfo, "the settings file was read again"}
	SettingsRejected = Event{106, slog.LevelWarn, "a changed settings file cannot be used"}
	SpanExportFailed = Event{107, slog.LevelWarn, "spans could not be handed out at the stop"}
	DiskWriteFailed  = Event{110, slog.LevelError, "the disk refused a write"}
	LogTruncated     = Event{111, slog.LevelWarn, "a torn record at the end of a log was cut"}
	LogCorrupt       = Event{112, slog.LevelError, "a corrupt record before the end of a log was found"}
	ReplicaCreated   = Event{113, slog.LevelInfo, "the data folder holds no replica, a new replica id is used"}
)

// Events of ledgers.
var (
	LeaderChanged      = Event{200, slog.LevelInfo, "the leader of a ledger changed"}
	LedgerRestored     = Event{201, slog.LevelInfo, "a ledger was restored from a snapshot"}
	CommandInvalid     = Event{202, slog.LevelError, "a committed command could not be decoded"}
	SnapshotFailed     = Event{203, slog.LevelError, "a snapshot could not be encoded"}
	CallEncodingFailed = Event{204, slog.LevelError, "a call or its answer could not be encoded or decoded"}
)

// Events of the members.
var (
	InstanceChanged      = Event{300, slog.LevelInfo, "the state of an instance changed"}
	BackendAdded         = Event{310, slog.LevelInfo, "a backend server announced itself"}
	BackendLeaving       = Event{311, slog.LevelInfo, "a backend server takes no new work"}
	BackendGone          = Event{312, slog.LevelWarn, "a backend server is not heard of any more"}
	AnnouncementRejected = Event{313, slog.LevelWarn, "an announcement of a backend server cannot be used"}
	PeerRejected         = Event{320, slog.LevelWarn, "a peer connection was refused"}
)

// Events of requests and jobs.
var (
	AttemptFailed         = Event{400, slog.LevelInfo, "an attempt at a backend server failed"}
	BackendLost           = Event{401, slog.LevelWarn, "a backend server was lost while it ran a request"}
	PoisonRequestRejected = Event{402, slog.LevelWarn, "a request was refused since it crashed backend servers"}
	RequestEnded          = Event{410, slog.LevelInfo, "a request ended"}
	AttemptStarted        = Event{411, slog.LevelInfo, "an attempt of a request was started"}
	ItemEnded             = Event{420, slog.LevelInfo, "an attempt of a batch item ended"}
	ItemPreempted         = Event{421, slog.LevelInfo, "a batch item gives its slot to an online request"}
	JobAbandoned          = Event{422, slog.LevelWarn, "the waiting items of a job were given up"}
	JobCallAnswered       = Event{423, slog.LevelInfo, "a call about a batch job was answered"}
	RunnerChanged         = Event{424, slog.LevelInfo, "this instance starts or stops running batch items"}
	ResultMismatch        = Event{425, slog.LevelWarn, "the result of an item did not follow its stored output"}
	ItemStalled           = Event{426, slog.LevelWarn, "an attempt of a batch item is stopped since nothing comes of it"}
	ConfigApplied         = Event{500, slog.LevelDebug, "a configuration revision is in force"}
)

// Events of instances that follow control instances.
var (
	OperatorCallAnswered   = Event{501, slog.LevelInfo, "an operator's call was answered"}
	ConfigDocumentApplied  = Event{502, slog.LevelInfo, "a configuration document is in force"}
	UpstreamUnreachable    = Event{510, slog.LevelWarn, "a control instance does not answer"}
	UpstreamSelected       = Event{511, slog.LevelInfo, "a control instance is followed"}
	InitialMembersProposed = Event{512, slog.LevelInfo, "the founders of the jobs ledger were proposed"}
	MembersChanged         = Event{513, slog.LevelInfo, "the members of a ledger changed"}
)

// All returns every event, by number.
func All() []Event {
	return []Event{
		Started, Draining, Stopped, ShutdownTimedOut, ListenerFailed, SettingsReloaded, SettingsRejected, SpanExportFailed,
		DiskWriteFailed, LogTruncated, LogCorrupt, ReplicaCreated,
		LeaderChanged, LedgerRestored, CommandInvalid, SnapshotFailed, CallEncodingFailed,
		InstanceChanged, BackendAdded, BackendLeaving, BackendGone, AnnouncementRejected, PeerRejected,
		AttemptFailed, BackendLost, PoisonRequestRejected,
		RequestEnded, AttemptStarted, ItemEnded, ItemPreempted, JobAbandoned, JobCallAnswered, RunnerChanged, ResultMismatch, ItemStalled,
		ConfigApplied, OperatorCallAnswered, ConfigDocumentApplied,
		UpstreamUnreachable, UpstreamSelected, InitialMembersProposed, MembersChanged,
	}
}
