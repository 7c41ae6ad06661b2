#ifndef SGR_FRAME_H
#define SGR_FRAME_H

#include "buffer.h"
#include "peer.pb-c.h"
#include "result.h"

#define SGR_FRAME_VERSION 1
#define SGR_FRAME_HEADER_BYTES 4
#define SGR_FRAME_CHUNK_BYTES (64 * 1024)
#define SGR_FRAME_MAX_BYTES (SGR_FRAME_CHUNK_BYTES + 4 * 1024)

/**
 * sgr_frame_append() - encode one frame at the end of a buffer
 * @out: receives a 4-byte big-endian length and the message
 * @frame: the message
 *
 * Return: SGR_ERR_LIMIT if the message is above SGR_FRAME_MAX_BYTES; nothing is written then.
 */
sgr_result_t sgr_frame_append (sgr_buffer_t *out, const Sgr__Pb__PeerFrame *frame);

/**
 * sgr_frame_decode() - read the first frame of received bytes
 * @bytes: received bytes
 * @length: how many
 * @frame: receives the message, to be freed by sgr_frame_free(), or NULL if more bytes are needed
 * @consumed: receives the bytes that the frame took, 0 if more are needed
 *
 * Return: SGR_ERR_LIMIT for a frame above SGR_FRAME_MAX_BYTES, SGR_ERR_INVALID for one that is
 * empty, malformed or without a required part; the connection must then be closed.
 */
sgr_result_t sgr_frame_decode (const uint8_t *bytes, size_t length, Sgr__Pb__PeerFrame **frame,
                               size_t *consumed);

void sgr_frame_free (Sgr__Pb__PeerFrame *frame);

/**
 * sgr_frame_attempt_id() - attempt that a frame is about
 * @frame: the message
 * @id: receives the id
 *
 * Return: false if frames of this type name no attempt.
 */
bool sgr_frame_attempt_id (const Sgr__Pb__PeerFrame *frame, sgr_attempt_id_t *id);

/**
 * sgr_frame_id_set() - convert an id to its message form
 * @message: receives the id
 * @id: the id
 */
void sgr_frame_id_set (Sgr__Pb__AttemptId *message, const sgr_attempt_id_t *id);

void sgr_frame_load_set (Sgr__Pb__LoadReport *message, const sgr_load_report_t *load);
void sgr_frame_load_get (const Sgr__Pb__LoadReport *message, sgr_load_report_t *load);

#endif
