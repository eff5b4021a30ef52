/* Blocking HTTP client of tests and of the demonstration. */
#ifndef CLIENT_H
#define CLIENT_H

#include <jansson.h>
#include <stdint.h>

struct client_answer {
	/* 0 when no answer came. */
	uint32_t status;
	/*
	 * Decoded body, or NULL without an answer in JSON; client_clear() frees
	 * it.
	 */
	json_t *json;
	/* From the start of the call to its end. */
	int64_t elapsed_us;
};

/*
 * Sends one request to @port of 127.0.0.1 on a connection of its own and waits
 * for the answer; @body NULL sends none.
 */
void client_call(struct client_answer *a, const char *method, uint16_t port,
		 const char *path, const char *body, uint32_t timeout_ms);
void client_clear(struct client_answer *a);
/*
 * Text or integer member of the answer's object; "" or -1 when it is absent or
 * of another type.
 */
const char *client_text(const struct client_answer *a, const char *field);
int64_t client_int(const struct client_answer *a, const char *field);

#endif
