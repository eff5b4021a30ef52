/*
 * Test bed of the third review: hosts of the gateway as processes of their own,
 * and a store, searchers and clients that are threads of the test program and
 * follow PROTOCOL.md. All addresses are loopback addresses.
 */
#ifndef REVIEW_RIG_3_H
#define REVIEW_RIG_3_H

#include <pthread.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/* Figures of the site file kds-search-grown. */
#define CONTACT_MS 5000
#define DRAIN_MS 5000
#define APPLY_MS 5000
#define GRACE_S 6
#define RETRY_SLACK 186
#define STORE_READS_PER_S 6000
#define STORE_WRITES_PER_S 1200
#define HEARTBEAT_MS 1200

#define HOSTS_MAX 4

/* Exit codes of a case. */
enum { HELD = 0, BROKEN = 1, CANNOT_RUN = 2 };

/* Opens record.txt in the folder of the case, and the temporary folder. */
void rig_init(const char *folder);
/* Kills all hosts and removes the temporary folder. */
void rig_end(void);
/* Milliseconds since rig_init(). */
double rig_ms(void);
void rig_sleep_until(double ms);
void rig_sleep(double ms);
/* 0 when the environment has TROUBLE=0. */
int rig_trouble(void);
void record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
/* Records the reason, ends all processes and exits with CANNOT_RUN. */
void cannot_run(const char *fmt, ...)
	__attribute__((format(printf, 1, 2), noreturn));
/* Ends all processes and exits with @code. */
void finish(int code) __attribute__((noreturn));

/*
 * The store. Each host reaches it at an address of its own, so that it can turn
 * away one host and serve the others.
 */
void store_start(void);
void store_put(const char *key, const char *json);
void store_delete(const char *key);
/* 1: host @host gets 503 to each call; 0: it is served. */
void store_turn_away(int host, int on);
/* Calls of @host that were answered with 503. */
int store_turned_away_calls(int host);

/* One request that a searcher began to work on. */
struct run {
	double at_ms;
	char id[64];
	/* 1 once its answer was sent. */
	int is_answered;
};

struct searcher {
	char id[64];
	char service[64];
	char zone[32];
	int port;
	int work_ms;
	int64_t born_ms;
	int64_t seq;
	int listen_fd;
	/* 1: writes its entry every HEARTBEAT_MS. */
	int is_beating;
	/* 1: the process has ended. */
	int has_ended;
	pthread_mutex_t lock;
	struct run *runs;
	int run_count;
	int *fds;
	int fd_count;
};

/* Starts a searcher, which writes its entry with phase "ready". */
struct searcher *searcher_start(const char *id, const char *service,
				int work_ms);
/* Removes its entry; it serves on. */
void searcher_remove_entry(struct searcher *s);
/* Its process ends: the listener and all connections close. */
void searcher_end(struct searcher *s);

/* Starts host @host of zone "z1"; the same settings each time. */
void host_start(int host);
void host_signal(int host, int signal_number);
/* Waits up to @ms for its end; 1 when it has ended. */
int host_wait_end(int host, int ms);
int host_is_running(int host);
int host_is_ready(int host);
void host_wait_ready(int host, int ms);
const char *host_address(int host);

struct answer {
	/* 0: the connection ended before a complete answer. */
	int status;
	char stamp[128];
	size_t body_bytes;
};

/* Sends one request on a new connection and reads its answer. */
struct answer client_call(int host, const char *method, const char *path,
			  const char *id, const char *body, int deadline_ms);

#endif
