// Package simwire is the wire protocol between the simulator and the policy. It decodes batches of events into inputs of
// the policy and encodes the resulting effects as actions. One process hosts many policy nodes that share no state. The
// package itself makes no decisions.
package simwire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"canvasrouter/internal/config"
	"canvasrouter/policy"
)

// Codes of the events that the simulator sends.
const (
	eventCreate = iota + 1
	eventEndpoints
	eventNewRequest
	eventEstablished
	eventFinished
	eventAbandoned
	eventDue
	eventChecked
	eventInbox
	eventKill
	eventSnapshotRows
)

// Codes of the actions that are sent to the simulator.
const (
	actionTransmit = 1
	actionRefuse   = 2
	actionAbort    = 3
	actionCancel   = 4
	actionSetAlarm = 5
	actionClose    = 7
	actionNotify   = 8
	actionTrace    = 9
	actionGiveIn   = 10
	actionListen   = 11
)

const (
	batchHeaderBytes  = 16
	listEntryBytes    = 23
	maxLists          = 16   // list numbers of SNAPSHOT_ROWS are below this
	maxTextBytes      = 4096 // longest text of a TRACE or GIVE_IN
	requestFlagRepeat = 2    // flag of NEW_REQUEST: the client repeats an op
	listFormFailed    = 3    // form of ENDPOINTS that carries no list
)

// outcomeByCode maps the simulator's outcome codes.
var outcomeByCode = map[byte]policy.Outcome{
	0:   policy.Acked,
	5:   policy.Errored,
	11:  policy.Full,
	110: policy.TimedOut,
	111: policy.ConnectFailed,
	104: policy.Reset,
	125: policy.Cancelled,
	114: policy.Moot,
}

// listFormByCode maps the form codes of ENDPOINTS.
var listFormByCode = [...]policy.ListForm{policy.ListChanges, policy.ListFull, policy.ListCached, policy.ListFailed}

// serverStateByCode maps the availability codes of SNAPSHOT_ROWS.
var serverStateByCode = map[byte]policy.ServerState{1: policy.Ready, 3: policy.Draining, 2: policy.Gone}

// toMillis converts a policy time to the simulator's milliseconds.
func toMillis(t policy.Micros) float64 { return float64(t) / 1000 }

// host holds the nodes of one process, and the server lists, which all nodes of the process share.
type host struct {
	nodes       map[uint32]policy.Decider // by instance number
	lists       [maxLists][]policy.ListEntry
	listKnown   [maxLists]bool
	input       policy.Input // reused for every event
	reply       []byte       // encoded actions of the current batch
	actionCount uint32       // actions in reply
}

// Serve reads batches of events from r and writes a reply to each on w, until r ends.
func Serve(r io.Reader, w io.Writer) error {
	in := bufio.NewReaderSize(r, 1<<20)
	out := bufio.NewWriterSize(w, 1<<20)
	h := &host{nodes: make(map[uint32]policy.Decider)}
	var header [batchHeaderBytes]byte
	var body []byte
	for batch := 1; ; batch++ {
		if _, err := io.ReadFull(in, header[:]); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return fmt.Errorf("batch %d: header cut short: %w", batch, err)
		}
		count := binary.BigEndian.Uint32(header[:])
		length := binary.BigEndian.Uint32(header[4:])
		clock := math.Float64frombits(binary.BigEndian.Uint64(header[8:]))
		if cap(body) < int(length) {
			body = make([]byte, length)
		}
		body = body[:length]
		if n, err := io.ReadFull(in, body); err != nil {
			return fmt.Errorf("batch %d: %d bytes announced, %d received: %w", batch, length, n, err)
		}
		if err := h.decodeBatch(config.MillisToMicros(clock), count, body); err != nil {
			return fmt.Errorf("batch %d: %w", batch, err)
		}
		var reply [8]byte
		binary.BigEndian.PutUint32(reply[:], uint32(len(h.reply)))
		binary.BigEndian.PutUint32(reply[4:], h.actionCount)
		out.Write(reply[:])
		out.Write(h.reply)
		if err := out.Flush(); err != nil {
			return fmt.Errorf("batch %d: reply: %w", batch, err)
		}
	}
}

// decodeBatch handles the records of one batch and leaves their actions in h.reply.
func (h *host) decodeBatch(now policy.Micros, count uint32, body []byte) error {
	h.reply = h.reply[:0]
	h.actionCount = 0
	fields := &fieldReader{remaining: body}
	for i := uint32(0); i < count; i++ {
		offset := len(body) - len(fields.remaining)
		if err := h.decodeRecord(now, fields); err != nil {
			return fmt.Errorf("record %d at byte %d: %w", i+1, offset, err)
		}
	}
	if len(fields.remaining) > 0 {
		return fmt.Errorf("%d bytes left over after %d records", len(fields.remaining), count)
	}
	return nil
}

// fieldReader reads the fields of records in order. A field that goes past the end sets truncated and reads as zero.
type fieldReader struct {
	remaining []byte
	truncated bool
}

// take returns the next n bytes.
func (r *fieldReader) take(n int) []byte {
	if n < 0 || n > len(r.remaining) {
		r.truncated = true
		r.remaining = nil
		return make([]byte, 8)
	}
	field := r.remaining[:n]
	r.remaining = r.remaining[n:]
	return field
}

func (r *fieldReader) u8() byte     { return r.take(1)[0] }
func (r *fieldReader) u16() uint16  { return binary.BigEndian.Uint16(r.take(2)) }
func (r *fieldReader) u32() uint32  { return binary.BigEndian.Uint32(r.take(4)) }
func (r *fieldReader) u64() uint64  { return binary.BigEndian.Uint64(r.take(8)) }
func (r *fieldReader) f32() float64 { return float64(math.Float32frombits(r.u32())) }
func (r *fieldReader) time() policy.Micros {
	return config.MillisToMicros(math.Float64frombits(r.u64()))
}
func (r *fieldReader) server() policy.ServerID {
	return policy.ServerID(r.u32())<<16 | policy.ServerID(r.u16())
}

// skipLoadReport skips a load report, which no decision uses.
func (r *fieldReader) skipLoadReport() { r.take(4 * int(r.u8())) }

// setOutcome sets the outcome for a code.
func setOutcome(input *policy.Input, code byte) error {
	outcome, found := outcomeByCode[code]
	if !found {
		return fmt.Errorf("unknown outcome %d", code)
	}
	input.Outcome = outcome
	return nil
}

// errTruncated reports a record that ends before its last field.
var errTruncated = errors.New("record cut short")

// decodeRecord reads one event and passes it to the node that it names.
func (h *host) decodeRecord(now policy.Micros, fields *fieldReader) error {
	code := fields.u8()
	if code == eventSnapshotRows {
		return h.decodeSnapshot(fields)
	}
	instance := fields.u32()
	input := &h.input
	*input = policy.Input{}
	switch code {
	case eventCreate:
		seed := fields.u64()
		text := fields.take(int(fields.u32()))
		if fields.truncated {
			return errTruncated
		}
		rules, err := config.ParseRules(text)
		if err != nil {
			return fmt.Errorf("CREATE of instance %d: %w", instance, err)
		}
		h.nodes[instance] = rules.NewNode(seed)
		return nil
	case eventKill:
		if fields.truncated {
			return errTruncated
		}
		delete(h.nodes, instance)
		return nil
	case eventEndpoints:
		input.Kind = policy.ListReceived
		form := fields.u8()
		list := fields.u32()
		fields.u64()
		if int(form) >= len(listFormByCode) {
			return fmt.Errorf("ENDPOINTS: unknown form %d", form)
		}
		input.Form = listFormByCode[form]
		if form != listFormFailed {
			if list >= maxLists || !h.listKnown[list] {
				return fmt.Errorf("ENDPOINTS: no list %d received", list)
			}
			input.List = h.lists[list]
		}
	case eventNewRequest:
		input.Kind = policy.OpArrived
		input.Op = policy.OpID(fields.u32())
		input.Category = policy.CategoryID(fields.u8())
		fields.time()
		input.Deadline = fields.time()
		input.Tenant = policy.TenantID(fields.u16())
		input.ClientRetry = fields.u8()&requestFlagRepeat != 0
		fields.u64()
	case eventEstablished:
		input.Kind = policy.StreamBegan
		input.Op = policy.OpID(fields.u32())
		input.Latency = fields.time()
		input.Push = policy.PushNumber(fields.u8())
		input.Server = fields.server()
	case eventFinished:
		input.Kind = policy.PushEnded
		input.Op = policy.OpID(fields.u32())
		outcomeCode := fields.u8()
		input.Latency = fields.time()
		input.Server = fields.server()
		input.Push = policy.PushNumber(fields.u8())
		input.OpSettled = fields.u8() != 0
		fields.skipLoadReport()
		if err := setOutcome(input, outcomeCode); err != nil {
			return err
		}
	case eventAbandoned:
		input.Kind = policy.OpAbandoned
		input.Op = policy.OpID(fields.u32())
	case eventDue:
		input.Kind = policy.TimerFired
		input.Token = policy.TimerToken(fields.u32())
	case eventChecked:
		input.Kind = policy.ProbeEnded
		input.Server = fields.server()
		outcomeCode := fields.u8()
		input.Latency = fields.time()
		fields.skipLoadReport()
		if err := setOutcome(input, outcomeCode); err != nil {
			return err
		}
	case eventInbox:
		fields.u32() // the sender, which is not used
		input.Kind = policy.PeerMessageReceived
		input.Message = fields.take(int(fields.u16()))
	default:
		return fmt.Errorf("unknown code %d", code)
	}
	if fields.truncated {
		return errTruncated
	}
	node, found := h.nodes[instance]
	if !found {
		return fmt.Errorf("event %d for instance %d, which is not running", code, instance)
	}
	h.step(now, instance, node, input)
	return nil
}

// decodeSnapshot reads a server list, which ENDPOINTS events refer to by its number.
func (h *host) decodeSnapshot(fields *fieldReader) error {
	list := fields.u32()
	count := int(fields.u32())
	if list >= maxLists {
		return fmt.Errorf("SNAPSHOT_ROWS: list number %d", list)
	}
	if count < 0 || count*listEntryBytes > len(fields.remaining) {
		return errTruncated
	}
	entries := h.lists[list][:0]
	for range count {
		entry := policy.ListEntry{
			StartedAt: fields.time(),
			Server:    fields.server(),
			Weight:    fields.f32(),
			Cell:      policy.CellID(fields.u16()),
		}
		state := fields.u8()
		entry.MachineType = policy.MachineTypeID(fields.u8())
		entry.Zone = policy.ZoneID(fields.u8())
		var found bool
		if entry.State, found = serverStateByCode[state]; !found {
			return fmt.Errorf("SNAPSHOT_ROWS: unknown availability %d", state)
		}
		if entry.Weight <= 0 {
			entry.Weight = 1
		}
		entries = append(entries, entry)
	}
	h.lists[list] = entries
	h.listKnown[list] = true
	return nil
}

// step passes an input to a node and encodes its effects. A panic of the node becomes a GIVE_IN action, which ends the
// simulation with the text of the panic.
func (h *host) step(now policy.Micros, instance uint32, node policy.Decider, input *policy.Input) {
	defer func() {
		if recovered := recover(); recovered != nil {
			h.appendText(actionGiveIn, instance, fmt.Sprint("panic: ", recovered))
		}
	}()
	for _, effect := range node.Step(now, input) {
		h.appendEffect(instance, &effect)
	}
}

// beginAction appends the head of an action.
func (h *host) beginAction(code byte, instance uint32) {
	h.actionCount++
	h.reply = append(h.reply, code)
	h.reply = binary.BigEndian.AppendUint32(h.reply, instance)
}

// appendTime appends a time in milliseconds.
func (h *host) appendTime(t policy.Micros) {
	h.reply = binary.BigEndian.AppendUint64(h.reply, math.Float64bits(toMillis(t)))
}

// appendText appends an action with a text of at most maxTextBytes.
func (h *host) appendText(code byte, instance uint32, text string) {
	text = text[:min(len(text), maxTextBytes)]
	h.beginAction(code, instance)
	h.reply = binary.BigEndian.AppendUint16(h.reply, uint16(len(text)))
	h.reply = append(h.reply, text...)
}

// appendEffect appends the action for an effect.
func (h *host) appendEffect(instance uint32, effect *policy.Effect) {
	beginOpAction := func(code byte) {
		h.beginAction(code, instance)
		h.reply = binary.BigEndian.AppendUint32(h.reply, uint32(effect.Op))
	}
	switch effect.Kind {
	case policy.Push:
		beginOpAction(actionTransmit)
		h.reply = binary.BigEndian.AppendUint32(h.reply, uint32(effect.Server>>16))
		h.reply = binary.BigEndian.AppendUint16(h.reply, uint16(effect.Server))
		h.appendTime(effect.Duration)
	case policy.Nack:
		beginOpAction(actionRefuse)
		h.appendTime(effect.Duration)
	case policy.DeadLetter:
		beginOpAction(actionAbort)
	case policy.Cancel:
		beginOpAction(actionCancel)
		h.reply = append(h.reply, byte(effect.Push))
	case policy.SetTimer:
		h.beginAction(actionSetAlarm, instance)
		h.appendTime(effect.TimerAt)
		h.reply = binary.BigEndian.AppendUint32(h.reply, uint32(effect.Token))
	case policy.WatchRegistry:
		h.beginAction(actionListen, instance)
		h.reply = append(h.reply, 1)
	case policy.CloseIdle:
		h.beginAction(actionClose, instance)
		h.reply = binary.BigEndian.AppendUint32(h.reply, uint32(effect.Server>>16))
		h.reply = binary.BigEndian.AppendUint16(h.reply, uint16(effect.Server))
	case policy.SendToPeer:
		h.beginAction(actionNotify, instance)
		h.reply = binary.BigEndian.AppendUint32(h.reply, uint32(effect.PeerNumber))
		h.reply = binary.BigEndian.AppendUint16(h.reply, uint16(len(effect.Message)))
		h.reply = append(h.reply, effect.Message[:]...)
	case policy.Log:
		h.appendText(actionTrace, instance, effect.Text)
	}
}
