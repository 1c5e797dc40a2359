package peer

import (
	"bytes"
	"encoding/base64"
	"encoding/gob"
	"reflect"
	"testing"
	"time"

	"bramblespur/internal/fleet"
	"bramblespur/internal/wire"
)

// The bytes are those that the version named as production in deploy/service.toml sends
// for these values. gob matches fields by name, so a field that is renamed here would silently
// arrive empty from a controller of that version.
func TestMessagesOfProduction(t *testing.T) {
	notice := 12.0
	for _, x := range []struct {
		layout string
		value  any
	}{
		{"XH8DAQEIU3luY0FyZ3MB/4AAAQYBBEZyb20BDAABBk9yZGVycwH/hAABBUNsYWltAf+GAAEISGFuZEhvbWUB/4YAAQhSZXF1ZXN0" +
			"cwEIAAEHQ2hhbmdlcwEIAAAAHP+DAgEBDVtdZmxlZXQuT3JkZXIB/4QAAf+CAAA5/4EDAQEFT3JkZXIB/4IAAQQBBFBhcnQBBAAB" +
			"B01hY2hpbmUBDAABAlRvAQQAAQVCZWxvdwEEAAAAE/+FAgEBBVtdaW50Af+GAAEEAAAj/4ABA2MtMAEBAQIBAm0xAQEBBAABAQIB" +
			"AQQB/vg/Af4EQAA=",
			SyncArgs{From: "c-0", Orders: []fleet.Order{{Part: 1, Machine: "m1", To: -1, Below: 2}}, Claim: []int{1}, HandHome: []int{2},
				Requests: 1.5, Changes: 2.5}},
		{"S/+HAwEBCVN5bmNSZXBseQH/iAABBAEJU3VtbWFyaWVzAf+WAAEHU3RhdGVPSwECAAEIUmVxdWVzdHMBBAABB0NoYW5nZXMBBAAA" +
			"AB7/lQIBAQ9bXWZsZWV0LlN1bW1hcnkB/5YAAf+KAABV/4kDAQEHU3VtbWFyeQH/igABBQEEUGFydAEEAAEFTmVlZHMB/5AAAQhN" +
			"YWNoaW5lcwH/lAABCEFycml2aW5nAQgAAQxBcnJpdmluZ1Nwb3QBCAAAABv/jwIBAQxbXWZsZWV0Lk5lZWQB/5AAAf+MAAD/k/+L" +
			"AwEBBE5lZWQB/4wAAQ0BA0pvYgEMAAEFSW1hZ2UBDAABBENQVXMBCAABBEdQVXMBCAABCE1lbW9yeUdCAQgAAQVUeXBlcwH/jgAB" +
			"BFpvbmUBDAABBFNwb3QBAgABB09uZVpvbmUBAgABBEdhbmcBAgABBUNvdW50AQQAAQRSYW5rAQQAAQZXYWl0ZWQBBAAAABb/jQIB" +
			"AQhbXXN0cmluZwH/jgABDAAAHv+TAgEBD1tdZmxlZXQuTWFjaGluZQH/lAAB/5IAAP+w/5EDAQEHTWFjaGluZQH/kgABEAECSUQB" +
			"DAABBFR5cGUBDAABBFpvbmUBDAABBFNwb3QBAgABAlVwAQIAAQZVc2FibGUBAgABB0xlYXZpbmcBAgABBENQVXMBCAABBEdQVXMB" +
			"CAABCE1lbW9yeUdCAQgAAQVUYXNrcwEEAAEHVG9wUmFuawEEAAEESWRsZQEEAAEGSW1hZ2VzAf+OAAEDRm9yAQwAAQRBZGRyAQwA" +
			"AAD/kv+IAQEBAgEBAQpydW4tMDAwMDAyAQNpbWcB/vA/AUAB/ghAAQEDYmlnAQJ6MQEBAQEBAQEIAQQB+wNCdwwAAAEBAQJtMQED" +
			"YmlnAQJ6MQEBAQEBAQEBAf7wPwFAAf4IQAEIAQoB+wLLQXgAAQEDaW1nAQpydW4tMDAwMDAxAQJhMQAB/uA/Af7QPwABAQEGAQgA",
			SyncReply{StateOK: true, Requests: 3, Changes: 4, Summaries: []fleet.Summary{{Part: 1, Arriving: 0.5, ArrivingSpot: 0.25,
				Machines: []fleet.Machine{{ID: "m1", Type: "big", Zone: "z1", Spot: true, Up: true, Usable: true, Leaving: true,
					CPUs: 1, GPUs: 2, MemoryGB: 3, Tasks: 4, TopRank: 5, Idle: 6 * time.Second, Images: []string{"img"}, For: "run-000001", Addr: "a1"}},
				Needs: []fleet.Need{{Job: "run-000002", Image: "img", CPUs: 1, GPUs: 2, MemoryGB: 3, Types: []string{"big"}, Zone: "z1",
					Spot: true, OneZone: true, Gang: true, Count: 4, Rank: 2, Waited: 7 * time.Second}}}}}},
		{"Nf+XAwEBCU51ZGdlQXJncwH/mAABAwEDS2V5AQwAAQVWYWx1ZQEKAAEHVmVyc2lvbgEGAAAAC/+YAQFrAQF2AQUA",
			NotifyArgs{Key: "k", Value: []byte("v"), Version: 5}},
		{"ef+ZAwEBBlJlcG9ydAH/mgABCgEHTWFjaGluZQEMAAEEQWRkcgEMAAEEVHlwZQEMAAEEWm9uZQEMAAEEU3BvdAECAAEHU2Vzc2lv" +
			"bgEGAAEDU2VxAQYAAQVUb2tlbgEGAAEHTm90aWNlUwEIAAEFVGFza3MB/54AAAAg/50CAQERW113aXJlLlJlcG9ydFRhc2sB/54A" +
			"Af+cAABJ/5sDAQEKUmVwb3J0VGFzawH/nAABBQEEVGFzawEMAAEHQXR0ZW1wdAEGAAEFU3RhdGUBDAABA1doeQEMAAEFU2F2ZWQB" +
			"AgAAAEH/mgECbTEBAmExAQNiaWcBAnoxAQEBAQECAQMB/ihAAQEBDHJ1bi0wMDAwMDEvMAECAQdydW5uaW5nAQF3AQEAAA==",
			wire.Heartbeat{Machine: "m1", Addr: "a1", Type: "big", Zone: "z1", Spot: true, Session: 1, Seq: 2, Token: 3, NoticeS: &notice,
				Tasks: []wire.HeartbeatTask{{Task: "run-000001/0", Attempt: 2, State: wire.Running, Why: "w", Saved: true}}}},
		{"MP+fAwEBC1JlcG9ydFJlcGx5Af+gAAECAQZTdGF0dXMBBAABBk9yZGVycwH/ogAAACz/oQMBAQZPcmRlcnMB/6IAAQIBBVRva2Vu" +
			"AQYAAQhDb21tYW5kcwH/pgAAAB3/pQIBAQ5bXXdpcmUuQ29tbWFuZAH/pgAB/6QAADz/owMBAQdDb21tYW5kAf+kAAEEAQJPcAEM" +
			"AAEEVGFzawEMAAEHQXR0ZW1wdAEGAAEGR3JhY2VTAQgAAAAn/6AB/gGQAQEFAQEBA3J1bgEMcnVuLTAwMDAwMS8wAQIB/ihAAAAA",
			HeartbeatReply{Status: 200, Orders: wire.CommandBatch{Token: 5,
				Commands: []wire.Command{{Op: wire.Start, Task: "run-000001/0", Attempt: 2, GraceS: &notice}}}}},
		{"M/+nAwEBCFVzZXJBcmdzAf+oAAEDAQZNZXRob2QBDAABBFBhdGgBDAABBEJvZHkBCgAAAA//qAEDR0VUAQIvcAEBYgA=",
			UserArgs{Method: "GET", Path: "/p", Body: []byte("b")}},
		{"Ov+pAwEBCVVzZXJSZXBseQH/qgABAwEGU3RhdHVzAQQAAQRCb2R5AQoAAQpSZXRyeUFmdGVyAQQAAAAM/6oB/gGQAQFiAQIA",
			UserReply{Status: 200, Body: []byte("b"), RetryAfter: 1}},
		{"O/+rAwEBBlN0YXR1cwH/rAABBAEDUmVmAQwAAQVTdGF0ZQEMAAEERG9uZQEEAAEHUnVubmluZwEEAAAAGf+sAQpydW4tMDAwMDAx" +
			"AQRkb25lAQIBBAA=",
			wire.Status{Ref: "run-000001", State: wire.Done, Done: 1, Running: 2}},
	} {
		sent, err := base64.StdEncoding.DecodeString(x.layout)
		if err != nil {
			t.Fatal(err)
		}
		read := reflect.New(reflect.TypeOf(x.value))
		if err := gob.NewDecoder(bytes.NewReader(sent)).DecodeValue(read); err != nil {
			t.Errorf("%T: %v", x.value, err)
			continue
		}
		if got := read.Elem().Interface(); !reflect.DeepEqual(got, x.value) {
			t.Errorf("%T: read %+v, want %+v", x.value, got, x.value)
		}
	}
}
