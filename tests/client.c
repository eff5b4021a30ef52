#include "client.h"

#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "base/util.h"

static size_t on_body(char *data, size_t size, size_t count, void *ctx)
{
	buf_add(ctx, data, size * count);
	return size * count;
}

void client_call(struct client_answer *a, const char *method, uint16_t port,
		 const char *path, const char *body, uint32_t timeout_ms)
{
	struct buf out CLEANUP_BUF = { 0 };
	CURL *easy = curl_easy_init();
	int64_t start_us = clock_now_us();
	char url[512];
	long status = 0;

	memset(a, 0, sizeof(*a));
	snprintf(url, sizeof(url), "http://127.0.0.1:%u%s", port, path);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, &out);
	if (body)
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
	if (curl_easy_perform(easy) == CURLE_OK) {
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
		a->status = (uint32_t)status;
		a->json = json_loadb(out.data ? out.data : "", out.len_bytes,
				     JSON_DECODE_ANY, NULL);
	}
	a->elapsed_us = clock_now_us() - start_us;
	curl_easy_cleanup(easy);
}

void client_clear(struct client_answer *a)
{
	json_decref(a->json);
	a->json = NULL;
}

const char *client_text(const struct client_answer *a, const char *field)
{
	const char *text = json_string_value(json_object_get(a->json, field));

	return text ? text : "";
}

int64_t client_int(const struct client_answer *a, const char *field)
{
	const json_t *value = json_object_get(a->json, field);

	return json_is_integer(value) ? json_integer_value(value) : -1;
}
