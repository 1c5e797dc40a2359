// Package contract holds tests of what other versions of the controllers, the workers and
// the operators' programs rely on: names and bytes of records, of messages between
// controllers, of snapshots, of settings and of the operators' JSON. The golden files under
// testdata were written by the last version before Go names were changed; two versions serve
// side by side during an upgrade, so a difference is an incompatible change, not a
// golden file to be renewed.
package contract
