/*
 * Parts that the scripts of the review share: a store, searchers and clients as
 * the users' pages describe them, on loopback addresses, and the start of
 * "target/cowslippoint gateway" as a process.
 */
#ifndef RIG_H
#define RIG_H

#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define RIG_HEAD_MAX 65536

/* Exit status of a script. */
enum { RIG_HELD = 0, RIG_BROKEN = 1, RIG_CANNOT_RUN = 2 };

/* 0 with TROUBLE=0 in the environment, else 1. */
extern int rig_trouble;
/* Loopback address of everything in this run. */
extern char rig_address[32];

/* Opens @record, and chooses the address and a temporary folder. */
void rig_init(const char *record);
/* Adds a line to the record, with the time since the start in ms. */
void rig_log(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
/* Ends with RIG_CANNOT_RUN after logging the reason. */
void rig_give_up(const char *reason) __attribute__((noreturn));
int64_t rig_now_ms(void);
void rig_sleep_ms(int64_t ms);
/* Ends the gateway, if it runs, and removes the temporary folder. */
void rig_end(void);

/* Connections. */
int rig_listen(uint16_t *port);
int rig_connect(uint16_t port);
/* 1 once all of @data is written. */
int rig_write(int fd, const void *data, size_t len);
/* Reads up to @len bytes within @wait_ms; 0 at the end, -1: none came. */
ssize_t rig_read(int fd, void *data, size_t len, int wait_ms);

/* One HTTP message: its head as text, and the bytes of the body. */
struct rig_message {
	char head[RIG_HEAD_MAX];
	/* Bytes that came with the head and belong to the body. */
	char *body;
	size_t body_len;
	/* Content-Length, or 0. */
	size_t body_expected;
};

/*
 * Reads a head within @wait_ms. 1: read; 0: the connection ended or nothing
 * came; -1: bytes that are no HTTP message, which are in head.
 */
int rig_read_head(int fd, struct rig_message *m, int wait_ms);
/* Reads the rest of the body; 1 when it is complete. */
int rig_read_body(int fd, struct rig_message *m, int wait_ms);
void rig_free(struct rig_message *m);
/* Copies the value of header @name to @out; 0 if there is none. */
int rig_header(const struct rig_message *m, const char *name, char *out,
	       size_t size);
/* Status of an answer. */
int rig_status(const struct rig_message *m);

/* The store. */
void rig_store_start(void);
void rig_store_put(const char *key, const char *text);
void rig_store_delete(const char *key);

/* Entry of a searcher in the store. */
void rig_put_searcher(const char *id, const char *service, uint16_t port,
		      int seq);

/* A gateway. */
extern pid_t rig_gateway_pid;
extern uint16_t rig_gateway_port;
/* Starts it and waits until it is ready. */
void rig_gateway_start(void);
/* Waits up to @wait_ms for its end; 1 if it has ended. */
int rig_gateway_wait(int wait_ms);

/* Starts a thread. */
void rig_thread(void *(*fn)(void *), void *arg);

#endif
