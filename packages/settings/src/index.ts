/** Settings of a node: its addresses, its failure domain and the endpoints of the platform. */
export { checkSettings, type Settings } from './settings.js';
