/** HTTP API for operators. */
export { createOperations, type OperationsOptions } from './operations.js';
export {
  createOperatorServer,
  type Operation,
  type OperatorResponse,
  type OperatorRequest,
  type OperatorServer,
  type OperatorServerOptions,
} from './operator.js';
