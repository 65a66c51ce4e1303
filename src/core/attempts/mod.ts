/** Assembly of complete answers from the frames of successive attempts. */
export {
  AnswerAssembler,
  type AnswerAssemblerOptions,
  type CompletedAnswer,
  type FrameEffect,
} from "./answer_assembler.ts";
