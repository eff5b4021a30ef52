/*
 * Messages between hosts (ONC RPC). FORWARD is a call over TCP: a host has a
 * gathered request answered by another one; CANCEL_FORWARD on the same
 * connection is one-way and names the transaction ID of the call. HEARTBEAT is
 * one-way over UDP: the server sends no reply. FETCH_CONFIG is a call over TCP.
 * FOLLOW_STATE is a call over TCP that the server answers when it knows more
 * than the client, when it has heard from the store again, or after hold_ms.
 * REPORT_HEALTH and TELL_HEALTH are one-way over UDP.
 */
%#include "codec/xdr_text.h"

const PEER_NAME_MAX = 64;
const PEER_ITEM_NAME_MAX = 80;
const PEER_ADDRESS_MAX = 45;
const PEER_WHO_MAX = 127;
const PEER_NOTICES_MAX = 16;
const PEER_ROLLOUTS_MAX = 4;
const PEER_RECENT_MAX = 64;
const PEER_ITEMS_MAX = 8192;
const PEER_JSON_MAX = 1048576;
const PEER_KEY_MAX = 256;
const PEER_ENTRIES_MAX = 65536;
const PEER_EVIDENCE_MAX = 128;
const PEER_HEALTH_MAX = 48;
const PEER_WIRE_ID_MAX = 127;
const PEER_METHOD_MAX = 23;
const PEER_FORWARD_MAX = 16384;
const PEER_STAMPS_MAX = 262144;

struct peer_notice {
	string target<PEER_NAME_MAX>;
	string instance<PEER_NAME_MAX>;
	unsigned int kind;
};

struct peer_rollout {
	string service<PEER_NAME_MAX>;
	string release<PEER_NAME_MAX>;
	unsigned int bad;
	unsigned int requests;
	unsigned int failures;
	unsigned int slow;
};

struct peer_heartbeat {
	string host<PEER_NAME_MAX>;
	string data_centre<PEER_NAME_MAX>;
	string address<PEER_ADDRESS_MAX>;
	unsigned int port;
	unsigned hyper incarnation;
	unsigned hyper sequence;
	unsigned int state;
	unsigned hyper config_rev;
	unsigned hyper config_change;
	unsigned hyper out_rev;
	peer_notice notices<PEER_NOTICES_MAX>;
	peer_rollout rollouts<PEER_ROLLOUTS_MAX>;
};

struct peer_fetch_args {
	unsigned hyper rev;
	unsigned hyper change;
	unsigned hyper after_rev;
};

struct peer_item {
	string name<PEER_ITEM_NAME_MAX>;
	unsigned hyper rev;
	unsigned hyper change;
	string who<PEER_WHO_MAX>;
	unsigned int deleted;
	string json<PEER_JSON_MAX>;
};

struct peer_config {
	unsigned hyper rev;
	unsigned hyper recent<PEER_RECENT_MAX>;
	unsigned int full;
	unsigned int more;
	peer_item items<PEER_ITEMS_MAX>;
};

struct peer_follow_args {
	unsigned hyper rev;
	unsigned int hold_ms;
	peer_rollout evidence<PEER_EVIDENCE_MAX>;
};

struct peer_target {
	unsigned hyper key;
	unsigned int calls;
	unsigned int failed_permille;
	unsigned int slowness_milli;
};

struct peer_health {
	peer_target targets<PEER_HEALTH_MAX>;
};

struct peer_entry {
	string key<PEER_KEY_MAX>;
	unsigned hyper rev;
	unsigned int deleted;
	opaque value<PEER_JSON_MAX>;
};

struct peer_state {
	unsigned hyper rev;
	unsigned int full;
	unsigned int age_ms;
	unsigned int returned_ms;
	unsigned int held_ms;
	peer_entry entries<PEER_ENTRIES_MAX>;
};

struct peer_forward {
	unsigned hyper config_version;
	unsigned int limit_ms;
	unsigned int goal_ms;
	string id<PEER_WIRE_ID_MAX>;
	string host_name<PEER_WIRE_ID_MAX>;
	string method<PEER_METHOD_MAX>;
	string uri<PEER_FORWARD_MAX>;
	opaque fields<PEER_FORWARD_MAX>;
	unsigned int has_body;
	opaque body<PEER_FORWARD_MAX>;
};

struct peer_forwarded {
	unsigned int status;
	unsigned int code;
	unsigned int retry_after_ms;
	unsigned int merged;
	unsigned int missing;
	opaque stamps<PEER_STAMPS_MAX>;
	opaque body<PEER_JSON_MAX>;
};

program COWSLIPPOINT_PEER {
	version PEER_V1 {
		void HEARTBEAT(peer_heartbeat) = 1;
		peer_config FETCH_CONFIG(peer_fetch_args) = 2;
		peer_state FOLLOW_STATE(peer_follow_args) = 3;
		void REPORT_HEALTH(peer_health) = 4;
		void TELL_HEALTH(peer_health) = 5;
		peer_forwarded FORWARD(peer_forward) = 6;
		void CANCEL_FORWARD(unsigned int) = 7;
	} = 1;
} = 0x20c05711;
