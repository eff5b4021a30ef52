/* Shared by http.c (event loop, listeners) and http_conn.c (connections). */
#ifndef STANDIN_HTTP_CONN_H
#define STANDIN_HTTP_CONN_H

#include "http.h"

/* First member of everything registered with epoll. */
enum http_kind { HTTP_KIND_LISTENER, HTTP_KIND_CONN, HTTP_KIND_TIMER };

struct http_listener {
	enum http_kind kind;
	int fd;
	struct http *http;
	struct http_service service;
	struct http_counters counters;
	char address[48];
	/* 1: new connections are silent. */
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
	/* Delays reading by connect_us. */
	struct timer_entry start;
	void *user;
	uint32_t events;
	/* A request was handed to the service and is not answered. */
	uint8_t busy;
	uint8_t parsing;
	uint8_t sent_continue;
	uint8_t close_after;
	uint8_t silent;
	/* What the client still sends is read and dropped. */
	uint8_t discard;
	uint8_t closed;
};

struct http_conn *conn_new(struct http_listener *l, int fd, int silent);
/* Handles what epoll reported. */
void conn_event(struct http_conn *c, uint32_t events);
/* Closes; with a reset when @reset. The memory lives until conn_reap(). */
void conn_close(struct http_conn *c, int reset);
void conn_free(struct http_conn *c);

/* Event loop side. */
int http_epoll(struct http *h);
void http_defer_free(struct http *h, struct http_conn *c);

#endif
