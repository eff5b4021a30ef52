/* Settings of "cowslippoint serve". */
#ifndef SERVE_OPTIONS_H
#define SERVE_OPTIONS_H

#include "base/opt.h"

#define PORT_MAX 65535

/* DEF(id, flag, env, kind, default, lowest, highest, help) */
#define SERVE_OPTIONS(DEF)                                                     \
	DEF(SERVE_OPT_HOST, "host", "COWSLIPPOINT_HOST", OPT_NAME, NULL, 0, 0, \
	    "ID of this host, unique among all hosts")                         \
	DEF(SERVE_OPT_DATA_CENTRE, "data-centre", "COWSLIPPOINT_DATA_CENTRE",  \
	    OPT_NAME, NULL, 0, 0, "data centre of this host")                  \
	DEF(SERVE_OPT_CALLER_ADDRESS, "caller-address",                        \
	    "COWSLIPPOINT_CALLER_ADDRESS", OPT_IP, "127.0.0.1", 0, 0,          \
	    "address of the caller API")                                       \
	DEF(SERVE_OPT_CALLER_PORT, "caller-port", "COWSLIPPOINT_CALLER_PORT",  \
	    OPT_NUMBER, "8080", 0, PORT_MAX,                                   \
	    "port of the caller API (0: any free one)")                        \
	DEF(SERVE_OPT_ADMIN_ADDRESS, "admin-address",                          \
	    "COWSLIPPOINT_ADMIN_ADDRESS", OPT_IP, "127.0.0.1", 0, 0,           \
	    "address of the admin API; beyond loopback a token is required")   \
	DEF(SERVE_OPT_ADMIN_PORT, "admin-port", "COWSLIPPOINT_ADMIN_PORT",     \
	    OPT_NUMBER, "8081", 0, PORT_MAX,                                   \
	    "port of the admin API (0: any free one)")                         \
	DEF(SERVE_OPT_ADMIN_TOKEN, "admin-token", "COWSLIPPOINT_ADMIN_TOKEN",  \
	    OPT_TEXT, "", 0, 0, "token that admin clients send")               \
	DEF(SERVE_OPT_PEER_ADDRESS, "peer-address",                            \
	    "COWSLIPPOINT_PEER_ADDRESS", OPT_IP, "127.0.0.1", 0, 0,            \
	    "address of this host for other hosts")                            \
	DEF(SERVE_OPT_PEER_PORT, "peer-port", "COWSLIPPOINT_PEER_PORT",        \
	    OPT_NUMBER, "8082", 0, PORT_MAX,                                   \
	    "UDP and TCP port for other hosts (0: any free one)")              \
	DEF(SERVE_OPT_PEERS, "peers", "COWSLIPPOINT_PEERS", OPT_TEXT, "", 0,   \
	    0,                                                                 \
	    "ADDRESS:PORT,... of hosts to ask for the configuration while "    \
	    "the host list cannot be read")                                    \
	DEF(SERVE_OPT_STORE_ADDRESS, "store-address",                          \
	    "COWSLIPPOINT_STORE_ADDRESS", OPT_IP, "127.0.0.1", 0, 0,           \
	    "address of the key-value service")                                \
	DEF(SERVE_OPT_STORE_PORT, "store-port", "COWSLIPPOINT_STORE_PORT",     \
	    OPT_NUMBER, "7000", 1, PORT_MAX, "port of the key-value service")  \
	DEF(SERVE_OPT_DRAIN_MS, "drain-ms", "COWSLIPPOINT_DRAIN_MS",           \
	    OPT_NUMBER, "3000", 0, 600000,                                     \
	    "on SIGTERM, time for the load balancer to see that this host "    \
	    "leaves")                                                          \
	DEF(SERVE_OPT_OPEN_MAX, "open-max", "COWSLIPPOINT_OPEN_MAX",           \
	    OPT_NUMBER, "4096", 1, 65536, "requests in flight at once")        \
	DEF(SERVE_OPT_RNG_SEED, "seed", "COWSLIPPOINT_SEED", OPT_NUMBER, "0",  \
	    0, INT64_MAX, "seed of random choices (0: from the clock)")

enum serve_option {
#define DEF(id, flag, env, kind, fallback, lowest, highest, help) id,
	SERVE_OPTIONS(DEF)
#undef DEF
		SERVE_OPTION_COUNT
};

extern const struct opt_def serve_option_defs[SERVE_OPTION_COUNT];

#endif
