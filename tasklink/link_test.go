package tasklink_test

import (
	"encoding/binary"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/tinylib/msgp/msgp"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/tasklink"
)

// TestLinkRoundTrip checks that messages arrive unchanged, and that Send and
// Receive fail after one side has closed the link.
func TestLinkRoundTrip(t *testing.T) {
	c := qt.New(t)
	senderConn, receiverConn := net.Pipe()
	sender, receiver := tasklink.NewLink(senderConn), tasklink.NewLink(receiverConn)
	sent := tasklink.Commands{
		DisabledZones: tasklink.DisabledZones{Version: 2, Zones: []string{"west"}},
		EchoedClock:   5,
		Starts: []tasklink.StartCommand{{
			Job: "0a", Need: pollenfront.Resources{CPU: 6000}, Payload: "p", Tasks: []tasklink.StartTask{{Index: 1, Run: 3, SeqNum: 2}},
		}},
		Stops: []pollenfront.RunID{{Number: 1, TaskID: pollenfront.TaskID{Job: "0b"}}},
	}
	for range 3 {
		c.Assert(sender.Send(&sent), qt.IsNil)
	}
	for range 3 {
		var got tasklink.Commands
		c.Assert(receiver.Receive(&got), qt.IsNil)
		c.Assert(got, qt.DeepEquals, sent)
	}
	sender.Close()
	c.Assert(sender.Send(&sent), qt.ErrorIs, tasklink.ErrClosed)
	c.Assert(receiver.Receive(&tasklink.Commands{}), qt.IsNotNil)
}

// TestReceiveInvalidFrame checks that Receive fails on frames that no Link sends.
func TestReceiveInvalidFrame(t *testing.T) {
	tests := []struct {
		name string
		size uint32
		body []byte
		want string
	}{
		{name: "frame over the size limit", size: 1 << 30, want: "the frame is larger than 8388608 bytes: message of 1073741824 bytes"},
		{name: "body that is not a message", size: 3, body: []byte("abc"), want: "decode message: .*"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			senderConn, receiverConn := net.Pipe()
			link := tasklink.NewLink(receiverConn)
			defer link.Close()
			go func() {
				_, _ = senderConn.Write(append(binary.BigEndian.AppendUint32(nil, test.size), test.body...))
			}()
			qt.Assert(t, link.Receive(&tasklink.Commands{}), qt.ErrorMatches, test.want)
		})
	}
}

// FuzzUpdateDecoding checks that decoding an update never panics, whatever bytes
// another process sends.
func FuzzUpdateDecoding(f *testing.F) {
	valid, err := (&tasklink.Update{RunEnds: []tasklink.RunEnd{{Reason: "r"}}}).MarshalMsg(nil)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Fuzz(func(_ *testing.T, data []byte) {
		var update tasklink.Update
		_, _ = update.UnmarshalMsg(data)
	})
}

// TestMalformedArraySizes checks that a message which states a huge size for an array is
// rejected. Memory for the stated size would end the process.
func TestMalformedArraySizes(t *testing.T) {
	const hugeArray = "\xdd\xff\xff\xff\xff" // An array with four-byte size.
	tests := []struct {
		name    string
		message msgp.Marshaler
		decoded msgp.Unmarshaler
	}{
		{name: "hello", message: &tasklink.Hello{}, decoded: &tasklink.Hello{}},
		{name: "update", message: &tasklink.Update{}, decoded: &tasklink.Update{}},
		{name: "commands", message: &tasklink.Commands{}, decoded: &tasklink.Commands{}},
		{name: "configuration", message: &pollenfront.Config{}, decoded: &pollenfront.Config{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			valid, err := test.message.MarshalMsg(nil)
			c.Assert(err, qt.IsNil)
			arrays := 0
			for i, b := range valid {
				if b != 0x90 { // An empty array.
					continue
				}
				arrays++
				malformed := string(valid[:i]) + hugeArray + string(valid[i+1:])
				_, err := test.decoded.UnmarshalMsg([]byte(malformed))
				c.Check(err, qt.IsNotNil, qt.Commentf("array at byte %d", i))
			}
			c.Assert(arrays > 0, qt.IsTrue)
		})
	}
}

// FuzzDecoding checks that decoding any message never panics, whatever bytes another
// process sends.
func FuzzDecoding(f *testing.F) {
	messages := []msgp.Marshaler{
		&tasklink.Hello{Name: "agent-1", Runs: []tasklink.RunState{{Reason: "r"}}},
		&tasklink.Update{Config: &pollenfront.Config{Routes: []pollenfront.Route{{Name: "r"}}}, RunEnds: []tasklink.RunEnd{{Reason: "r"}}},
		&tasklink.Commands{Starts: []tasklink.StartCommand{{Job: "0a", Tasks: []tasklink.StartTask{{Run: 1}}}}, Stops: []pollenfront.RunID{{Number: 1}}},
		&pollenfront.Config{Services: map[string]pollenfront.Service{"s": {Name: "s"}}},
	}
	for _, message := range messages {
		valid, err := message.MarshalMsg(nil)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(valid)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		for _, message := range []msgp.Unmarshaler{&tasklink.Hello{}, &tasklink.Update{}, &tasklink.Commands{}, &pollenfront.Config{}} {
			_, _ = message.UnmarshalMsg(data)
		}
	})
}
