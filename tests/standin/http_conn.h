/*
 * Types that http.c (event loop, listeners) and http_conn.c (connections)
 * share.
 */
#ifndef STANDIN_HTTP_CONN_H
#define STANDIN_HTTP_CONN_H

#include "http.h"

/* Tells what an epoll event is for; first member of all that is registered. */
enum http_kind { HTTP_KIND_LISTENER, HTTP_KIND_CONN, HTTP_KIND_TIMER };

struct http_listener {
	enum http_kind kind;
	int fd;
	struct http *http;
	struct http_service service;
	struct http_counters counters;
	char address[48];
	/* 1: new connections are silent from the beginning. */
	int blackhole;
	uint16_t port;
	struct http_conn *conns;
	struct http_listener *next;
};

struct http_conn {
	enum http_kind kind;
	int fd;
	struct http_listener *listener;
	struct http_conn *prev;
	struct http_conn *next;
	struct buf in;
	struct buf out;
	size_t out_sent_bytes;
	/* While armed, the connection is not read yet, for connect_us. */
	struct timer_entry start;
	void *user;
	/* Events that epoll waits for. */
	uint32_t events;
	/* 1: the service has a request that is not answered. */
	uint8_t busy;
	/* 1: parse() is running; it must not be entered again. */
	uint8_t parsing;
	/* 1: "100 Continue" was sent for the request that is being read. */
	uint8_t sent_continue;
	/* 1: close once all output is sent. */
	uint8_t close_after;
	/* 1: neither read nor written any more. */
	uint8_t silent;
	/* 1: input is read and dropped. */
	uint8_t discard;
	uint8_t closed;
};

struct http_conn *conn_new(struct http_listener *l, int fd, int silent);
/* Handles the @events that epoll reported. */
void conn_event(struct http_conn *c, uint32_t events);
/*
 * Closes the connection, with a TCP reset if @reset. The memory is freed at the
 * end of the round, as events for it may still be pending.
 */
void conn_close(struct http_conn *c, int reset);
void conn_free(struct http_conn *c);

/* Functions of http.c. */
int http_epoll(struct http *h);
/* Frees the closed connection @c at the end of the round. */
void http_defer_free(struct http *h, struct http_conn *c);

#endif
