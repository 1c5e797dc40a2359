// Package contract tests what other versions of the controllers, the workers and the operators'
// programs rely on: names and bytes of records, of messages between controllers, of snapshots, of
// settings and of the operators' JSON. The golden files under testdata were written by the last
// version before Go names were changed. Two versions run side by side during an upgrade, so a
// difference is an incompatible change; it is no reason to write a golden file anew.
package contract
