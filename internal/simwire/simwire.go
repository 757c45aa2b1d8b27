// Package simwire turns the simulator's frames into the policy's inputs, and its effects into
// frames. It hosts many nodes that share nothing, and decides nothing.
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

// Codes of events and of actions; each direction numbers its own.
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
	maxLists          = 16   // SNAPSHOT_ROWS numbers
	maxTextBytes      = 4096 // of a TRACE or GIVE_IN
	requestFlagRepeat = 2    // NEW_REQUEST marks: a repetition by the client
	listFormFailed    = 3
)

var outcomeByCode = map[byte]policy.Outcome{0: policy.Acked, 5: policy.Errored, 11: policy.Full,
	110: policy.TimedOut, 111: policy.ConnectFailed, 104: policy.Reset, 125: policy.Cancelled, 114: policy.Moot}

var listFormByCode = [...]policy.ListForm{policy.ListChanges, policy.ListWhole, policy.ListCached, policy.ListFailed}

var serverStateByCode = map[byte]policy.ServerState{1: policy.Ready, 3: policy.Draining, 2: policy.Gone}

func toMillis(t policy.Micros) float64 { return float64(t) / 1000 }

// host holds the nodes of one process and the lists that belong to the process as a whole.
type host struct {
	nodes       map[uint32]policy.Decider
	lists       [maxLists][]policy.Entry
	listKnown   [maxLists]bool
	input       policy.Input
	reply       []byte
	actionCount uint32
}

// Serve answers batches from r on w until r ends.
func Serve(r io.Reader, w io.Writer) error {
	in, out := bufio.NewReaderSize(r, 1<<20), bufio.NewWriterSize(w, 1<<20)
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
		count, length := binary.BigEndian.Uint32(header[:]), binary.BigEndian.Uint32(header[4:])
		clock := math.Float64frombits(binary.BigEndian.Uint64(header[8:]))
		if cap(body) < int(length) {
			body = make([]byte, length)
		}
		body = body[:length]
		if n, err := io.ReadFull(in, body); err != nil {
			return fmt.Errorf("batch %d: %d bytes announced, %d came: %w", batch, length, n, err)
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

func (h *host) decodeBatch(now policy.Micros, count uint32, body []byte) error {
	h.reply, h.actionCount = h.reply[:0], 0
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

// cursor reads fields in order; the first field that does not fit is kept as short.
type fieldReader struct {
	remaining []byte
	truncated bool
}

func (c *fieldReader) take(n int) []byte {
	if n < 0 || n > len(c.remaining) {
		c.truncated = true
		c.remaining = nil
		return make([]byte, 8)
	}
	field := c.remaining[:n]
	c.remaining = c.remaining[n:]
	return field
}

func (c *fieldReader) u8() byte     { return c.take(1)[0] }
func (c *fieldReader) u16() uint16  { return binary.BigEndian.Uint16(c.take(2)) }
func (c *fieldReader) u32() uint32  { return binary.BigEndian.Uint32(c.take(4)) }
func (c *fieldReader) u64() uint64  { return binary.BigEndian.Uint64(c.take(8)) }
func (c *fieldReader) f32() float64 { return float64(math.Float32frombits(c.u32())) }
func (c *fieldReader) time() policy.Micros {
	return config.MillisToMicros(math.Float64frombits(c.u64()))
}
func (c *fieldReader) server() policy.ServerID {
	return policy.ServerID(c.u32())<<16 | policy.ServerID(c.u16())
}

// report passes over a load report: no decision reads one.
func (c *fieldReader) skipLoadReport() { c.take(4 * int(c.u8())) }

func setOutcome(input *policy.Input, code byte) error {
	outcome, found := outcomeByCode[code]
	if !found {
		return fmt.Errorf("unknown outcome %d", code)
	}
	input.Outcome = outcome
	return nil
}

var errTruncated = errors.New("record cut short")

// record reads one event and hands it to the node that it names.
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
		input.Kind = policy.ListCame
		form, list := fields.u8(), fields.u32()
		fields.u64()
		if int(form) >= len(listFormByCode) {
			return fmt.Errorf("ENDPOINTS: unknown form %d", form)
		}
		input.Form = listFormByCode[form]
		if form != listFormFailed {
			if list >= maxLists || !h.listKnown[list] {
				return fmt.Errorf("ENDPOINTS: no list %d has come", list)
			}
			input.List = h.lists[list]
		}
	case eventNewRequest:
		input.Kind = policy.OpArrived
		input.Op, input.Category = policy.OpID(fields.u32()), policy.CategoryID(fields.u8())
		fields.time()
		input.NotAfter, input.Tenant = fields.time(), policy.TenantID(fields.u16())
		input.Repeated = fields.u8()&requestFlagRepeat != 0
		fields.u64()
	case eventEstablished:
		input.Kind = policy.StreamBegan
		input.Op = policy.OpID(fields.u32())
		input.Took, input.Push, input.Server = fields.time(), policy.PushNo(fields.u8()), fields.server()
	case eventFinished:
		input.Kind = policy.PushEnded
		input.Op = policy.OpID(fields.u32())
		outcomeCode := fields.u8()
		input.Took, input.Server, input.Push, input.Settled = fields.time(), fields.server(), policy.PushNo(fields.u8()), fields.u8() != 0
		fields.skipLoadReport()
		if err := setOutcome(input, outcomeCode); err != nil {
			return err
		}
	case eventAbandoned:
		input.Kind = policy.OpAbandoned
		input.Op = policy.OpID(fields.u32())
	case eventDue:
		input.Kind = policy.Woken
		input.Token = policy.Token(fields.u32())
	case eventChecked:
		input.Kind = policy.ProbeEnded
		input.Server = fields.server()
		outcomeCode := fields.u8()
		input.Took = fields.time()
		fields.skipLoadReport()
		if err := setOutcome(input, outcomeCode); err != nil {
			return err
		}
	case eventInbox:
		fields.u32() // who says it counts for nothing
		input.Kind, input.Said = policy.PeerSaid, fields.take(int(fields.u16()))
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

func (h *host) decodeSnapshot(fields *fieldReader) error {
	list, count := fields.u32(), int(fields.u32())
	if list >= maxLists {
		return fmt.Errorf("SNAPSHOT_ROWS: list number %d", list)
	}
	if count < 0 || count*listEntryBytes > len(fields.remaining) {
		return errTruncated
	}
	entries := h.lists[list][:0]
	for range count {
		entry := policy.Entry{Started: fields.time(), Server: fields.server(), Weight: fields.f32(), Cell: policy.CellID(fields.u16())}
		state := fields.u8()
		entry.Kind, entry.Zone = policy.KindID(fields.u8()), policy.ZoneID(fields.u8())
		var found bool
		if entry.State, found = serverStateByCode[state]; !found {
			return fmt.Errorf("SNAPSHOT_ROWS: unknown availability %d", state)
		}
		if entry.Weight <= 0 {
			entry.Weight = 1
		}
		entries = append(entries, entry)
	}
	h.lists[list], h.listKnown[list] = entries, true
	return nil
}

// step lets a node decide. A panic there ends the day with its text.
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

func (h *host) beginAction(code byte, instance uint32) {
	h.actionCount++
	h.reply = append(h.reply, code)
	h.reply = binary.BigEndian.AppendUint32(h.reply, instance)
}

func (h *host) appendTime(t policy.Micros) {
	h.reply = binary.BigEndian.AppendUint64(h.reply, math.Float64bits(toMillis(t)))
}

func (h *host) appendText(code byte, instance uint32, text string) {
	text = text[:min(len(text), maxTextBytes)]
	h.beginAction(code, instance)
	h.reply = binary.BigEndian.AppendUint16(h.reply, uint16(len(text)))
	h.reply = append(h.reply, text...)
}

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
		h.appendTime(effect.For)
	case policy.Nack:
		beginOpAction(actionRefuse)
		h.appendTime(effect.For)
	case policy.DeadLetter:
		beginOpAction(actionAbort)
	case policy.Cancel:
		beginOpAction(actionCancel)
		h.reply = append(h.reply, byte(effect.Push))
	case policy.Wake:
		h.beginAction(actionSetAlarm, instance)
		h.appendTime(effect.At)
		h.reply = binary.BigEndian.AppendUint32(h.reply, uint32(effect.Token))
	case policy.Watch:
		h.beginAction(actionListen, instance)
		h.reply = append(h.reply, 1)
	case policy.Close:
		h.beginAction(actionClose, instance)
		h.reply = binary.BigEndian.AppendUint32(h.reply, uint32(effect.Server>>16))
		h.reply = binary.BigEndian.AppendUint16(h.reply, uint16(effect.Server))
	case policy.Tell:
		h.beginAction(actionNotify, instance)
		h.reply = binary.BigEndian.AppendUint32(h.reply, uint32(effect.Peer))
		h.reply = binary.BigEndian.AppendUint16(h.reply, uint16(len(effect.Said)))
		h.reply = append(h.reply, effect.Said[:]...)
	case policy.Log:
		h.appendText(actionTrace, instance, effect.Text)
	}
}
