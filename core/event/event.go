// Package event defines the numbered log events. docs/EVENTS.md explains each
// of them.
package event

import (
	"context"
	"log/slog"
)

// Event is a kind of log entry with a fixed number, level and text.
type Event struct {
	number int
	level  slog.Level
	text   string
}

// Number returns the event's number.
func (e Event) Number() int { return e.number }

// Level returns the severity.
func (e Event) Level() slog.Level { return e.level }

// Text returns the log message.
func (e Event) Text() string { return e.text }

// Log writes the event with attributes, in the form that slog takes.
func (e Event) Log(logger *slog.Logger, attributes ...any) {
	logger.Log(context.Background(), e.level, e.text, append([]any{"event", e.number}, attributes...)...)
}

// Events of the instance as a whole.
var (
	Started              = Event{100, slog.LevelInfo, "instance started"}
	Draining             = Event{101, slog.LevelInfo, "graceful shutdown started"}
	Stopped              = Event{102, slog.LevelInfo, "instance stopped"}
	ShutdownTimedOut     = Event{103, slog.LevelWarn, "graceful shutdown timed out"}
	ListenerFailed       = Event{104, slog.LevelError, "a listener failed"}
	SettingsReloaded     = Event{105, slog.LevelInfo, "the settings file was reloaded"}
	SettingsRejected     = Event{106, slog.LevelWarn, "a changed settings file was rejected"}
	SpanExportFailed     = Event{107, slog.LevelWarn, "spans could not be exported at shutdown"}
	DiskWriteFailed      = Event{110, slog.LevelError, "a write to disk failed"}
	LogTruncated         = Event{111, slog.LevelWarn, "a torn record at the end of a log was truncated"}
	LogCorrupt           = Event{112, slog.LevelError, "a corrupt record before the end of a log was found"}
	ReplicaCreated       = Event{113, slog.LevelInfo, "the data folder holds no replica; a new replica id was created"}
	ClientRejected       = Event{120, slog.LevelWarn, "there was no room for what a client sent"}
	ClientGaveWay        = Event{121, slog.LevelWarn, "a client that made no progress had to give way"}
	DescriptorsExhausted = Event{122, slog.LevelError, "no descriptor is left to accept a connection"}
	HTTPServerFailed     = Event{123, slog.LevelWarn, "an HTTP server reported a fault"}
	PacketDropped        = Event{124, slog.LevelWarn, "a packet between instances was dropped because there was no room for it"}
	PacketUnreadable     = Event{125, slog.LevelError, "a packet of another instance could not be decoded"}
)

// Events of ledgers.
var (
	LeaderChanged      = Event{200, slog.LevelInfo, "the leader of a ledger changed"}
	LedgerRestored     = Event{201, slog.LevelInfo, "a ledger was restored from a snapshot"}
	CommandInvalid     = Event{202, slog.LevelError, "a committed command could not be decoded"}
	SnapshotFailed     = Event{203, slog.LevelError, "a snapshot could not be encoded"}
	CallEncodingFailed = Event{204, slog.LevelError, "a call or its answer could not be encoded or decoded"}
	LedgerMemory       = Event{205, slog.LevelInfo, "the memory that a ledger takes"}
)

// Events of instances, backend servers and peers.
var (
	InstanceChanged      = Event{300, slog.LevelInfo, "the state of an instance changed"}
	BackendAdded         = Event{310, slog.LevelInfo, "a backend server announced itself"}
	BackendLeaving       = Event{311, slog.LevelInfo, "a backend server takes no new work"}
	BackendGone          = Event{312, slog.LevelWarn, "a backend server stopped announcing itself"}
	BackendSaidLeaving   = Event{314, slog.LevelInfo, "a backend server said in an answer that it is leaving"}
	AnnouncementRejected = Event{313, slog.LevelWarn, "an announcement of a backend server was rejected"}
	PeerRejected         = Event{320, slog.LevelWarn, "a peer connection was rejected"}
)

// Events of requests and jobs.
var (
	AttemptFailed              = Event{400, slog.LevelInfo, "an attempt at a backend server failed"}
	BackendLost                = Event{401, slog.LevelWarn, "a backend server was lost while it ran a request"}
	PoisonRequestRejected      = Event{402, slog.LevelWarn, "a request was rejected because it crashed backend servers"}
	ServerCrashed              = Event{403, slog.LevelWarn, "requests were lost in a crash of a backend server"}
	PartQuarantined            = Event{404, slog.LevelWarn, "a part of prompts was quarantined"}
	QuarantineEnded            = Event{405, slog.LevelInfo, "the quarantine of a part of prompts ended"}
	QuarantinedRequestRejected = Event{406, slog.LevelInfo, "a request was rejected because a part of its prompt is quarantined"}
	AnswerTooLong              = Event{407, slog.LevelWarn, "an answer of a backend server was given up because it was too long"}
	BackendLimitChanged        = Event{408, slog.LevelInfo, "a backend server named another limit"}
	StreamTakenUp              = Event{409, slog.LevelInfo, "a caller takes up a stream"}
	RequestEnded               = Event{410, slog.LevelInfo, "a request ended"}
	AttemptStarted             = Event{411, slog.LevelInfo, "an attempt of a request started"}
	StreamNotRecorded          = Event{412, slog.LevelWarn, "the software version of a stream was not recorded in time"}
	AnswerWithheld             = Event{413, slog.LevelInfo, "an answer was withheld because its server was started again"}
	AttemptResumes             = Event{414, slog.LevelInfo, "an attempt goes on after the events that were sent to the caller"}
	StreamRecordsResent        = Event{415, slog.LevelInfo, "records of streams were sent again to a control instance"}
	StatusInvalid              = Event{416, slog.LevelWarn, "a response of a backend server has no status of an answer"}
	HandlerPanicked            = Event{417, slog.LevelError, "the handler of a request or an item ended without a result"}
	ItemAttemptEnded           = Event{420, slog.LevelInfo, "an attempt of a batch item ended"}
	ItemPreempted              = Event{421, slog.LevelInfo, "a batch item was preempted by an online request"}
	JobAbandoned               = Event{422, slog.LevelWarn, "the waiting items of a job were abandoned"}
	JobCallAnswered            = Event{423, slog.LevelInfo, "a call about a batch job was answered"}
	RunnerChanged              = Event{424, slog.LevelInfo, "this instance started or stopped running batch items"}
	ResultMismatch             = Event{425, slog.LevelWarn, "the result of an item did not continue its stored output"}
	ItemStalled                = Event{426, slog.LevelWarn, "an attempt of a batch item was stopped because it made no progress"}
	ItemAttemptStarted         = Event{427, slog.LevelInfo, "an attempt of a batch item started"}
	JobRejected                = Event{428, slog.LevelWarn, "a job was rejected because there is no room for it"}
	ItemRestarted              = Event{429, slog.LevelInfo, "a batch item starts again from the beginning"}
	ServerEnded                = Event{430, slog.LevelInfo, "the process of a backend server has ended"}
	ConfigApplied              = Event{500, slog.LevelDebug, "a configuration revision was applied"}
)

// Events of operator calls and of instances that poll control instances.
var (
	OperatorCallAnswered   = Event{501, slog.LevelInfo, "an operator's call was answered"}
	ConfigDocumentApplied  = Event{502, slog.LevelInfo, "a configuration document was applied"}
	UpstreamUnreachable    = Event{510, slog.LevelWarn, "a control instance does not answer"}
	UpstreamSelected       = Event{511, slog.LevelInfo, "an upstream control instance was selected"}
	InitialMembersProposed = Event{512, slog.LevelInfo, "the initial members of the jobs ledger were proposed"}
	MembersChanged         = Event{513, slog.LevelInfo, "the members of a ledger changed"}
)

// All returns every event in the order of their numbers.
func All() []Event {
	return []Event{
		Started, Draining, Stopped, ShutdownTimedOut, ListenerFailed, SettingsReloaded, SettingsRejected, SpanExportFailed,
		DiskWriteFailed, LogTruncated, LogCorrupt, ReplicaCreated,
		ClientRejected, ClientGaveWay, DescriptorsExhausted, HTTPServerFailed, PacketDropped, PacketUnreadable,
		LeaderChanged, LedgerRestored, CommandInvalid, SnapshotFailed, CallEncodingFailed, LedgerMemory,
		InstanceChanged, BackendAdded, BackendLeaving, BackendGone, AnnouncementRejected, BackendSaidLeaving, PeerRejected,
		AttemptFailed, BackendLost, PoisonRequestRejected, ServerCrashed, PartQuarantined, QuarantineEnded, QuarantinedRequestRejected, AnswerTooLong, BackendLimitChanged, StreamTakenUp,
		RequestEnded, AttemptStarted, StreamNotRecorded, AnswerWithheld, AttemptResumes, StreamRecordsResent, StatusInvalid, HandlerPanicked, ItemAttemptEnded, ItemPreempted, JobAbandoned, JobCallAnswered, RunnerChanged, ResultMismatch, ItemStalled, ItemAttemptStarted, JobRejected, ItemRestarted, ServerEnded,
		ConfigApplied, OperatorCallAnswered, ConfigDocumentApplied,
		UpstreamUnreachable, UpstreamSelected, InitialMembersProposed, MembersChanged,
	}
}
