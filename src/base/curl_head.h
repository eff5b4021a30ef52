/*
 * Watches the head of an answer that libcurl reads. Tells whether it was read to
 * its end, because a transfer succeeds, with a status and without a body, also
 * when the connection ends after the first line; and bounds its length, with
 * that of interim answers and of the trailer, which libcurl reads without end.
 */
#ifndef CURL_HEAD_H
#define CURL_HEAD_H

#include <curl/curl.h>
#include <stdint.h>

struct curl_head {
	/* 1 once the line that ends the head was read. */
	uint32_t is_complete;
	/* Bytes of all lines so far. */
	size_t bytes;
};

/*
 * Watches the next transfer of @easy; @h has to outlive it. Sets the header
 * callback of @easy. The transfer fails with CURLE_WRITE_ERROR when the head
 * has more than 64 KB.
 */
void curl_head_watch(struct curl_head *h, CURL *easy);
/*
 * Result of a transfer that ended with @code: CURLE_PARTIAL_FILE if it would be
 * a success although the head is not complete.
 */
CURLcode curl_head_result(const struct curl_head *h, CURLcode code);

#endif
