package tasklink_test

import (
	"encoding/binary"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/tasklink"
)

func TestLink(t *testing.T) {
	c := qt.New(t)
	left, right := net.Pipe()
	a, b := tasklink.NewLink(left), tasklink.NewLink(right)
	sent := tasklink.Commands{
		DisabledZones: tasklink.DisabledZones{Version: 2, Zones: []string{"west"}},
		Echo:          5,
		Starts: []tasklink.StartCommand{{
			Job: "0a", Need: pollenfront.Resources{CPU: 6000}, Payload: "p", Tasks: []tasklink.StartTask{{Index: 1, Run: 3, SeqNum: 2}},
		}},
		Stops: []pollenfront.RunID{{Number: 1, TaskID: pollenfront.TaskID{Job: "0b"}}},
	}
	for range 3 {
		c.Assert(a.Send(&sent), qt.IsNil)
	}
	for range 3 {
		var got tasklink.Commands
		c.Assert(b.Receive(&got), qt.IsNil)
		c.Assert(got, qt.DeepEquals, sent)
	}
	a.Close()
	c.Assert(a.Send(&sent), qt.ErrorIs, tasklink.ErrClosed)
	c.Assert(b.Receive(&tasklink.Commands{}), qt.IsNotNil)
}

func TestBadFrames(t *testing.T) {
	tests := []struct {
		name string
		size uint32
		body []byte
		want string
	}{
		{name: "a frame over the limit", size: 1 << 30, want: "the frame is larger than .*"},
		{name: "a body that is not a message", size: 3, body: []byte("abc"), want: "decode a message: .*"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			left, right := net.Pipe()
			link := tasklink.NewLink(right)
			defer link.Close()
			go func() {
				_, _ = left.Write(append(binary.BigEndian.AppendUint32(nil, test.size), test.body...))
			}()
			qt.Assert(t, link.Receive(&tasklink.Commands{}), qt.ErrorMatches, test.want)
		})
	}
}

// FuzzUpdate checks that no bytes from another process make decoding panic.
func FuzzUpdate(f *testing.F) {
	valid, err := (&tasklink.Update{RunEnds: []tasklink.RunEnd{{Reason: "r"}}}).MarshalMsg(nil)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Fuzz(func(_ *testing.T, data []byte) {
		var u tasklink.Update
		_, _ = u.UnmarshalMsg(data)
	})
}
