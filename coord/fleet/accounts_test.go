package fleet_test

import (
	"encoding/hex"
	"testing"

	"github.com/matryer/is"

	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/coord/routes"
)

// olderSnapshot has a document of version 7, written before documents had accounts.
const olderSnapshot = "a8010102a4010702a401000200030004000381a901617202616803612f04647361666505000600070008000981a201617302" +
	"010481a60161730200030004f9000005f40600034474657874040105000600078161630a00"

// Guards against snapshots of older replicas that cannot be restored or get accounts, and
// against accounts that do not survive a snapshot.
func TestSnapshotsWithAndWithoutAccounts(t *testing.T) {
	is := is.New(t)
	data, err := hex.DecodeString(olderSnapshot)
	is.NoErr(err)
	st, err := fleet.Restore(data)
	is.NoErr(err)
	d, text := st.Document()
	is.Equal(d.Version, uint64(7))
	is.Equal(string(text), "text")
	is.Equal(len(d.Accounts), 0)
	again, err := st.Snapshot()
	is.NoErr(err)
	is.Equal(again, data) // older replicas can read it

	next, priority := *d, 3
	next.Version = 8
	next.Accounts = []routes.Account{{Name: "a", KeyHashes: routes.HashKeys([]string{"k"}), Priority: &priority, Rate: 2.5, Burst: 4}}
	command, err := fleet.EncodeCommand(fleet.Command{ApplyDocument: &fleet.ApplyDocument{ChangeID: "c8", BaseVersion: 7, Document: &next}})
	is.NoErr(err)
	result, err := st.Apply(2, command)
	is.NoErr(err)
	is.Equal(result.Status, fleet.Accepted)
	data, err = st.Snapshot()
	is.NoErr(err)
	st, err = fleet.Restore(data)
	is.NoErr(err)
	d, _ = st.Document()
	is.Equal(d.Accounts, next.Accounts)
}
