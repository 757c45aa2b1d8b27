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
	evCreate = iota + 1
	evEndpoints
	evNewRequest
	evEstablished
	evFinished
	evAbandoned
	evDue
	evChecked
	evInbox
	evKill
	evSnapshotRows
)

const (
	actTransmit = 1
	actRefuse   = 2
	actAbort    = 3
	actCancel   = 4
	actSetAlarm = 5
	actClose    = 7
	actNotify   = 8
	actTrace    = 9
	actGiveIn   = 10
	actListen   = 11
)

const (
	headerLen  = 16
	entryLen   = 23
	lists      = 16   // SNAPSHOT_ROWS numbers
	maxText    = 4096 // of a TRACE or GIVE_IN
	flagRepeat = 2    // NEW_REQUEST marks: a repetition by the client
	formFailed = 3
)

var outcomes = map[byte]policy.Outcome{0: policy.Acked, 5: policy.Errored, 11: policy.Full,
	110: policy.TimedOut, 111: policy.ConnectFailed, 104: policy.Reset, 125: policy.Cancelled, 114: policy.Moot}

var forms = [...]policy.ListForm{policy.ListChanges, policy.ListFull, policy.ListCached, policy.ListFailed}

var states = map[byte]policy.ServerState{1: policy.Ready, 3: policy.Draining, 2: policy.Gone}

func millis(t policy.Micros) float64 { return float64(t) / 1000 }

// host holds the nodes of one process and the lists that belong to the process as a whole.
type host struct {
	nodes   map[uint32]policy.Decider
	lists   [lists][]policy.ListEntry
	known   [lists]bool
	input   policy.Input
	reply   []byte
	actions uint32
}

// Serve answers batches from r on w until r ends.
func Serve(r io.Reader, w io.Writer) error {
	in, out := bufio.NewReaderSize(r, 1<<20), bufio.NewWriterSize(w, 1<<20)
	h := &host{nodes: make(map[uint32]policy.Decider)}
	var header [headerLen]byte
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
		if err := h.batch(config.MillisToMicros(clock), count, body); err != nil {
			return fmt.Errorf("batch %d: %w", batch, err)
		}
		var reply [8]byte
		binary.BigEndian.PutUint32(reply[:], uint32(len(h.reply)))
		binary.BigEndian.PutUint32(reply[4:], h.actions)
		out.Write(reply[:])
		out.Write(h.reply)
		if err := out.Flush(); err != nil {
			return fmt.Errorf("batch %d: reply: %w", batch, err)
		}
	}
}

func (h *host) batch(now policy.Micros, count uint32, body []byte) error {
	h.reply, h.actions = h.reply[:0], 0
	c := &cursor{rest: body}
	for i := uint32(0); i < count; i++ {
		at := len(body) - len(c.rest)
		if err := h.record(now, c); err != nil {
			return fmt.Errorf("record %d at byte %d: %w", i+1, at, err)
		}
	}
	if len(c.rest) > 0 {
		return fmt.Errorf("%d bytes left over after %d records", len(c.rest), count)
	}
	return nil
}

// cursor reads fields in order; the first field that does not fit is kept as short.
type cursor struct {
	rest  []byte
	short bool
}

func (c *cursor) take(n int) []byte {
	if n < 0 || n > len(c.rest) {
		c.short = true
		c.rest = nil
		return make([]byte, 8)
	}
	field := c.rest[:n]
	c.rest = c.rest[n:]
	return field
}

func (c *cursor) u8() byte            { return c.take(1)[0] }
func (c *cursor) u16() uint16         { return binary.BigEndian.Uint16(c.take(2)) }
func (c *cursor) u32() uint32         { return binary.BigEndian.Uint32(c.take(4)) }
func (c *cursor) u64() uint64         { return binary.BigEndian.Uint64(c.take(8)) }
func (c *cursor) f32() float64        { return float64(math.Float32frombits(c.u32())) }
func (c *cursor) time() policy.Micros { return config.MillisToMicros(math.Float64frombits(c.u64())) }
func (c *cursor) server() policy.ServerID {
	return policy.ServerID(c.u32())<<16 | policy.ServerID(c.u16())
}

// report passes over a load report: no decision reads one.
func (c *cursor) report() { c.take(4 * int(c.u8())) }

func setOutcome(in *policy.Input, how byte) error {
	outcome, found := outcomes[how]
	if !found {
		return fmt.Errorf("unknown outcome %d", how)
	}
	in.Outcome = outcome
	return nil
}

var errShort = errors.New("record cut short")

// record reads one event and hands it to the node that it names.
func (h *host) record(now policy.Micros, c *cursor) error {
	code := c.u8()
	if code == evSnapshotRows {
		return h.snapshot(c)
	}
	who := c.u32()
	in := &h.input
	*in = policy.Input{}
	switch code {
	case evCreate:
		seed := c.u64()
		text := c.take(int(c.u32()))
		if c.short {
			return errShort
		}
		rules, err := config.ParseRules(text)
		if err != nil {
			return fmt.Errorf("CREATE of instance %d: %w", who, err)
		}
		h.nodes[who] = rules.NewNode(seed)
		return nil
	case evKill:
		if c.short {
			return errShort
		}
		delete(h.nodes, who)
		return nil
	case evEndpoints:
		in.Kind = policy.ListReceived
		form, list := c.u8(), c.u32()
		c.u64()
		if int(form) >= len(forms) {
			return fmt.Errorf("ENDPOINTS: unknown form %d", form)
		}
		in.Form = forms[form]
		if form != formFailed {
			if list >= lists || !h.known[list] {
				return fmt.Errorf("ENDPOINTS: no list %d has come", list)
			}
			in.List = h.lists[list]
		}
	case evNewRequest:
		in.Kind = policy.OpArrived
		in.Op, in.Category = policy.OpID(c.u32()), policy.CategoryID(c.u8())
		c.time()
		in.Deadline, in.Tenant = c.time(), policy.TenantID(c.u16())
		in.ClientRetry = c.u8()&flagRepeat != 0
		c.u64()
	case evEstablished:
		in.Kind = policy.StreamBegan
		in.Op = policy.OpID(c.u32())
		in.Latency, in.Push, in.Server = c.time(), policy.PushNumber(c.u8()), c.server()
	case evFinished:
		in.Kind = policy.PushEnded
		in.Op = policy.OpID(c.u32())
		how := c.u8()
		in.Latency, in.Server, in.Push, in.OpSettled = c.time(), c.server(), policy.PushNumber(c.u8()), c.u8() != 0
		c.report()
		if err := setOutcome(in, how); err != nil {
			return err
		}
	case evAbandoned:
		in.Kind = policy.OpAbandoned
		in.Op = policy.OpID(c.u32())
	case evDue:
		in.Kind = policy.TimerFired
		in.Token = policy.TimerToken(c.u32())
	case evChecked:
		in.Kind = policy.ProbeEnded
		in.Server = c.server()
		how := c.u8()
		in.Latency = c.time()
		c.report()
		if err := setOutcome(in, how); err != nil {
			return err
		}
	case evInbox:
		c.u32() // who says it counts for nothing
		in.Kind, in.Message = policy.PeerMessageReceived, c.take(int(c.u16()))
	default:
		return fmt.Errorf("unknown code %d", code)
	}
	if c.short {
		return errShort
	}
	node, found := h.nodes[who]
	if !found {
		return fmt.Errorf("event %d for instance %d, which is not running", code, who)
	}
	h.step(now, who, node, in)
	return nil
}

func (h *host) snapshot(c *cursor) error {
	list, n := c.u32(), int(c.u32())
	if list >= lists {
		return fmt.Errorf("SNAPSHOT_ROWS: list number %d", list)
	}
	if n < 0 || n*entryLen > len(c.rest) {
		return errShort
	}
	entries := h.lists[list][:0]
	for range n {
		e := policy.ListEntry{StartedAt: c.time(), Server: c.server(), Weight: c.f32(), Cell: policy.CellID(c.u16())}
		state := c.u8()
		e.MachineType, e.Zone = policy.MachineTypeID(c.u8()), policy.ZoneID(c.u8())
		var found bool
		if e.State, found = states[state]; !found {
			return fmt.Errorf("SNAPSHOT_ROWS: unknown availability %d", state)
		}
		if e.Weight <= 0 {
			e.Weight = 1
		}
		entries = append(entries, e)
	}
	h.lists[list], h.known[list] = entries, true
	return nil
}

// step lets a node decide. A panic there ends the day with its text.
func (h *host) step(now policy.Micros, who uint32, node policy.Decider, in *policy.Input) {
	defer func() {
		if r := recover(); r != nil {
			h.text(actGiveIn, who, fmt.Sprint("panic: ", r))
		}
	}()
	for _, e := range node.Step(now, in) {
		h.effect(who, &e)
	}
}

func (h *host) begin(code byte, who uint32) {
	h.actions++
	h.reply = append(h.reply, code)
	h.reply = binary.BigEndian.AppendUint32(h.reply, who)
}

func (h *host) time(t policy.Micros) {
	h.reply = binary.BigEndian.AppendUint64(h.reply, math.Float64bits(millis(t)))
}

func (h *host) text(code byte, who uint32, text string) {
	text = text[:min(len(text), maxText)]
	h.begin(code, who)
	h.reply = binary.BigEndian.AppendUint16(h.reply, uint16(len(text)))
	h.reply = append(h.reply, text...)
}

func (h *host) effect(who uint32, e *policy.Effect) {
	op := func(code byte) {
		h.begin(code, who)
		h.reply = binary.BigEndian.AppendUint32(h.reply, uint32(e.Op))
	}
	switch e.Kind {
	case policy.Push:
		op(actTransmit)
		h.reply = binary.BigEndian.AppendUint32(h.reply, uint32(e.Server>>16))
		h.reply = binary.BigEndian.AppendUint16(h.reply, uint16(e.Server))
		h.time(e.Duration)
	case policy.Nack:
		op(actRefuse)
		h.time(e.Duration)
	case policy.DeadLetter:
		op(actAbort)
	case policy.Cancel:
		op(actCancel)
		h.reply = append(h.reply, byte(e.Push))
	case policy.SetTimer:
		h.begin(actSetAlarm, who)
		h.time(e.TimerAt)
		h.reply = binary.BigEndian.AppendUint32(h.reply, uint32(e.Token))
	case policy.WatchRegistry:
		h.begin(actListen, who)
		h.reply = append(h.reply, 1)
	case policy.CloseIdle:
		h.begin(actClose, who)
		h.reply = binary.BigEndian.AppendUint32(h.reply, uint32(e.Server>>16))
		h.reply = binary.BigEndian.AppendUint16(h.reply, uint16(e.Server))
	case policy.SendToPeer:
		h.begin(actNotify, who)
		h.reply = binary.BigEndian.AppendUint32(h.reply, uint32(e.PeerNumber))
		h.reply = binary.BigEndian.AppendUint16(h.reply, uint16(len(e.Message)))
		h.reply = append(h.reply, e.Message[:]...)
	case policy.Log:
		h.text(actTrace, who, e.Text)
	}
}
