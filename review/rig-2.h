/*
 * Test bed of the second review: one gateway process on loopback, a store that
 * speaks the platform's key-value interface, searchers and callers. All but the
 * gateway are threads of the test program.
 */
#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <pthread.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/* Bounds of the small site files (kds-search, bluemahoe-search). */
#define CONTACT_MS 4000
#define DRAIN_MS 3000
#define APPLY_MS 3000
#define GRACE_S 6
#define LOSS_SLACK_MS 200
#define MEMORY_MB 260
#define HEARTBEAT_MS 1200

#define HOSTS_MAX 2

/* Exit codes of a case. */
enum { HELD = 0, BROKEN = 1, CANNOT_RUN = 2 };

/* Milliseconds of the monotonic clock since the start of the program. */
double rig_ms(void);
void rig_sleep(double ms);
/* 0 when the environment has TROUBLE=0. */
int rig_trouble(void);
/* Adds a line with the time to record.txt in the folder of the case. */
void record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
/* Writes the line, ends the gateway and exits with CANNOT_RUN. */
void cannot_run(const char *fmt, ...)
	__attribute__((format(printf, 1, 2), noreturn));

/* Opens the record of case @folder and picks a loopback address. */
void rig_init(const char *folder);
const char *rig_address(void);
uint16_t rig_free_port(void);

/* The store. Keys are written from the test as by the operator or a searcher. */
void store_start(void);
void store_put(const char *key, const char *value);
void store_delete(const char *key);

/*
 * Writes configuration @version with the routes /files/, of @type, to the service
 * "files", and /notes/, idempotent, to "notes", and this limit on bodies.
 */
void store_put_config(int version, const char *type, int body_bytes_max);

/* One request that a searcher ran. */
struct run {
	double at_ms;
	char id[128];
	char method[16];
	char path[256];
	size_t body_bytes;
	uint64_t body_hash;
};

struct searcher {
	char id[64];
	char service[64];
	uint16_t port;
	/* Time that it works on a request. */
	int work_ms;
	/* Length of its answers. */
	size_t answer_bytes;
	int64_t born_ms;
	int64_t seq;
	pthread_mutex_t lock;
	struct run *runs;
	size_t run_count;
};

/* Listens and writes its entry, with phase "ready". */
struct searcher *searcher_start(const char *id, const char *service,
				int work_ms);
/* Writes its entry with @phase and the next seq. */
void searcher_report(struct searcher *s, const char *phase);
/* Ends it with its connections and deletes its entry. */
void searcher_stop(struct searcher *s);
size_t searcher_runs(struct searcher *s);
uint64_t hash_bytes(const void *data, size_t len);

/*
 * Hosts, each on an address of its own: starts target/cowslippoint gateway
 * without waiting for anything, writes its settings file anew, asks its
 * readiness page, waits for the end of its process and returns the wait status.
 */
pid_t host_spawn(int host);
void host_write_settings(int host);
int host_is_ready(int host);
void host_signal(int host, int signal_number);
int host_wait(int host);

/* The same for host 0, which most cases use alone. Waits until it is ready. */
void gateway_start(void);
void gateway_signal(int signal_number);
/* Resident memory in MB; -1 once the process has ended. */
double gateway_rss_mb(void);
void gateway_kill(void);

/* A caller's connection. */
struct caller {
	int fd;
	char *in;
	size_t len;
	size_t cap;
};

struct answer {
	/* 0: the connection ended before a complete answer. */
	int status;
	double at_ms;
	int says_close;
	char id[128];
	size_t body_bytes;
	uint64_t body_hash;
};

int caller_connect(struct caller *c);
int caller_send(struct caller *c, const void *data, size_t len);
/* Reads one answer; 0 in status when the connection ends or @wait_ms is over. */
struct answer caller_read(struct caller *c, int wait_ms);
/*
 * Bytes of this connection that the gateway's process has not read yet, from
 * /proc/net/tcp; -1 if the connection is not found.
 */
long caller_unread(const struct caller *c);
void caller_close(struct caller *c);
/* Head of a request to the route of the case. */
int request_head(char *out, size_t size, const char *method, const char *path,
		 const char *id, int deadline_ms, size_t body_bytes);

#endif
