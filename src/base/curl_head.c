#include "base/curl_head.h"

#include <string.h>

#define HEAD_BYTES_MAX 65536

/*
 * Called for each line of the head, and for those of the trailer after a
 * chunked body.
 */
static size_t on_line(char *line, size_t size, size_t n, void *ctx)
{
	struct curl_head *h = ctx;
	size_t len = size * n;

	h->bytes += len;
	if (h->bytes > HEAD_BYTES_MAX)
		return 0;
	/* The first line of an answer, also of one after an interim answer. */
	if (len >= 5 && memcmp(line, "HTTP/", 5) == 0)
		h->is_complete = 0;
	else if (len && (line[0] == '\r' || line[0] == '\n'))
		h->is_complete = 1;
	return len;
}

void curl_head_watch(struct curl_head *h, CURL *easy)
{
	*h = (struct curl_head){ 0 };
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_line);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, h);
}

CURLcode curl_head_result(const struct curl_head *h, CURLcode code)
{
	return code == CURLE_OK && !h->is_complete ? CURLE_PARTIAL_FILE : code;
}
