package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
)

func TestClaimsAndSlots(t *testing.T) {
	is := is.New(t)
	c, at := NewClaims(), time.Unix(1000, 0)
	a, b := Holder{"entry-1", 1}, Holder{"entry-2", 1}
	add := func(typ RecordType, h Holder, upstream string) {
		t.Helper()
		data, err := proto.Marshal(&Record{Type: typ, Upstream: upstream, Vm: h.VM, Incarnation: h.Incarnation, Deployment: "d", Limit: 1})
		is.NoErr(err)
		is.NoErr(c.Apply(c.Offset()+1, at, data))
	}
	add(RecordType_CLAIM, a, "u1")
	add(RecordType_CLAIM, b, "u1")
	_, mine := c.Fence("u1", a)
	is.True(!mine)
	fence, mine := c.Fence("u1", b)
	is.True(mine)
	is.Equal(fence, uint64(2))
	_, mine = c.Fence("u1", Holder{"entry-2", 2})
	is.True(!mine) // the same VM after a restart has a new incarnation

	add(RecordType_BEGIN, a, "u1")
	is.True(!c.HasSlot("u1")) // a former owner gets no slot
	add(RecordType_BEGIN, b, "u1")
	is.True(c.HasSlot("u1"))
	add(RecordType_CLAIM, a, "u2")
	add(RecordType_BEGIN, a, "u2")
	is.True(!c.HasSlot("u2")) // over the limit
	add(RecordType_END, a, "u1")
	is.True(c.HasSlot("u1")) // only the owner releases the slot
	at = at.Add(slotTTL)
	add(RecordType_BEGIN, a, "u2")
	is.True(!c.HasSlot("u1"))
	is.True(c.HasSlot("u2"))
	add(RecordType_END, a, "u2")
	is.Equal(len(c.Slots("d")), 0)
	is.True(c.Apply(c.Offset()+1, at, []byte("no record")) != nil)
}
