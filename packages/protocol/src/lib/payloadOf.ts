/** How large an event is, without encoding it. */
import type { Event, GroupMessage } from './generated/rillrudder/v1/link'

/**
 * @param event - an event on its way to a peer.
 * @returns the bytes that it carries for others; what describes them is small beside that.
 * @internal
 */
export function payloadOf({ body }: Event): number {
	switch (body?.$case) {
		case 'group':
			return groupPayloadOf(body.value)
		case 'orderBatch':
		case 'orderResults':
		case 'peerCall':
		case 'peerReply':
			return body.value.body.length
		default:
			return 0
	}
}

function groupPayloadOf({ body }: GroupMessage): number {
	switch (body?.$case) {
		case 'append':
			return body.value.entries.reduce((sum, { data }) => sum + data.length, 0)
		case 'snapshotPiece':
			return body.value.data.length
		default:
			return 0
	}
}
