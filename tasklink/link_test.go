package tasklink_test

import (
	"encoding/binary"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

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
